# Thousands of announcements of targets that do not exist.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd targets 127.0.0.1 control --connections 50

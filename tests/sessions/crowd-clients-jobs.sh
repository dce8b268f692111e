# Thousands of valid jobs; all core hosts are then killed and load them again.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd jobs 127.0.0.5 clients --connections 50
restart_cores
meet_crowd idle 127.0.0.1 control --connections 1

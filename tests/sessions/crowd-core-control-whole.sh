# Complete requests of legal size, sent to a core host.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd whole 127.0.0.1 control

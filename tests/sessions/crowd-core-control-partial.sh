# Bodies that stop short of their last byte, sent to a core host.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd partial 127.0.0.1 control

# Bodies of legal size that stop short of their last byte.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd partial 127.0.0.5 clients

# Frames of the bus of a front end of the largest size that stop short of their last byte.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd long-frames 127.0.0.5 bus

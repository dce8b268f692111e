# More connections than descriptors.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd idle 127.0.0.5 clients --connections 700

# More connections to a core host than it has descriptors.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd idle 127.0.0.1 control --connections 700

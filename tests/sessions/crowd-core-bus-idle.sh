# More connections to the bus of a core host than descriptors.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd idle 127.0.0.1 bus --connections 700

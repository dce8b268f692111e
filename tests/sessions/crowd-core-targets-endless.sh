# Targets whose answers are of the largest size and stop short of their last byte.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd endless "$(leader)" control --connections 60

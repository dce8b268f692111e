# More connections to the readiness check than descriptors.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd idle 127.0.0.5 readiness --connections 700

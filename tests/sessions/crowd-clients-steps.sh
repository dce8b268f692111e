# Valid jobs of legal size.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd steps 127.0.0.5 clients --connections 200

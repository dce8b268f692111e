# Messages of the bus without a byte, as fast as they are taken, to a front end.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd flood 127.0.0.5 bus

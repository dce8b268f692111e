# Readers of the dump of a core host that do not read it.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd answers 127.0.0.1 metrics

# Requests sent ahead to a core host, whose answers nobody reads.
MEMORY_MB=40
. tests/platform/crowd.sh
start_small_fleet
meet_crowd ahead 127.0.0.1 control

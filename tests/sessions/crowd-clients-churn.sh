# Thousands of valid jobs that are cancelled at once: entries of the log.
MEMORY_MB=40
. tests/platform/crowd.sh
start_small_fleet
meet_crowd churn 127.0.0.5 clients --connections 50

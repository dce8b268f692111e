# The placement policy takes all hosts for one asker and is slow for the first 5 s; its
# time is then enough for two queries of each step. Each job that fits twice is completed
# in time.
YARD=1
. tests/platform/lib.sh
start_yard --turns shared --phase 0:5:4
start_yard_targets
submit_jobs --site yard --count 100 --gap 0.1 --long 0.16 --seed 1 2>"$WORK/jobs.err"
end_yard

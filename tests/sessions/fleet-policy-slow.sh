# The placement policy is slow for 5 s and silent for 3 s more: each job that fits twice is
# completed in time.
YARD=1
. tests/platform/lib.sh
start_yard --phase 2:5:8 --phase 7:3:0
start_yard_targets
submit_jobs --site yard --count 100 --gap 0.1 --long 0.16 --seed 1 2>"$WORK/jobs.err"
end_yard

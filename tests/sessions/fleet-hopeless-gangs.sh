# Gangs that never fit on the targets that the policy grants to them wait beside others,
# all of them for 12 s without targets: then each job that fits twice is completed in time.
YARD=1
. tests/platform/lib.sh
start_yard
submit_jobs --site yard --count 150 --gap 0.03 --long 0.2 --hopeless 80 --sound-after 12 --seed 1 2>"$WORK/jobs.err" &
PIDS[jobs]=$!
sleep 12
start_yard_targets
wait_for_exit jobs
end_yard

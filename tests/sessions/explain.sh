# "explain" finds in the logs of two hosts why a job was late or rejected: answers of
# the placement policy that name no target with room, a lost leader, a job on time, a rejected job, a lost target, a wait for the team's
# limit with log lines missing, a data centre that is evacuated, a lower limit of
# attempts, an unknown ID.
LOGS=$(mktemp -d)
cat >"$LOGS/one" <<'LINES'
{"at":100.000,"event":"job.accepted","id":"00000000000000a1","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":100.020,"event":"run.ordered","id":"00000000000000a1.0.0.0","run":1,"target":"t-1","waited_ms":20,"estimate_ms":700,"resumes":0}
{"at":100.100,"event":"job.accepted","id":"00000000000000a2","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":100.120,"event":"run.ordered","id":"00000000000000a2.0.0.0","run":1,"target":"t-2","waited_ms":20,"estimate_ms":700,"resumes":0}
{"at":100.900,"event":"job.ended","id":"00000000000000a2","state":"completed","took_ms":800,"objective_ms":1300}
{"at":101.000,"event":"job.rejected","id":"00000000000000a3","error":"busy","why":"too many tasks wait"}
{"at":101.100,"event":"cell.leads","host":"10.0.0.9","term":2,"config":3}
LINES
cat >"$LOGS/two" <<'LINES'
{"at":103.000,"event":"cell.leads","host":"10.0.0.2","term":4,"config":3}
{"at":103.400,"event":"job.ended","id":"00000000000000a1","state":"completed","took_ms":3400,"objective_ms":1300}
{"at":104.000,"event":"job.accepted","id":"00000000000000a4","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":104.100,"event":"run.lost","id":"00000000000000a4.0.0.0","run":1,"target":"t-3","ran_ms":41,"suspect":0}
{"at":107.000,"event":"job.ended","id":"00000000000000a4","state":"completed","took_ms":3000,"objective_ms":1300}
{"at":108.000,"event":"job.accepted","id":"00000000000000a5","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":109.200,"event":"step.waits","id":"00000000000000a5.0.0","why":"its team is at its limit","idle":1,"granted":0,"waited_ms":1200,"free_cpu_milli":9000,"free_accel":0}
{"at":110.000,"event":"lines.left_out","kind":"run.ended","count":7}
{"at":111.000,"event":"job.ended","id":"00000000000000a5","state":"completed","took_ms":3000,"objective_ms":1300}
{"at":112.000,"event":"job.accepted","id":"00000000000000a6","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":112.500,"event":"run.stopped","id":"00000000000000a6.0.0.0","run":1,"target":"t-4","why":"its data centre is evacuated"}
{"at":115.000,"event":"job.ended","id":"00000000000000a6","state":"completed","took_ms":3000,"objective_ms":1300}
{"at":116.000,"event":"job.accepted","id":"00000000000000a7","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":116.190,"event":"policy.answered","id":"00000000000000a7.0.0","asker":"10.0.0.7","granted":0,"error":"corrupt","status":404,"bytes":2,"unread":0,"took_ms":190,"policy_ms":188}
{"at":117.200,"event":"step.waits","id":"00000000000000a7.0.0","why":"no room on a target with a good ticket","idle":1,"waited_ms":1200,"named":9,"granted":4,"refused":3,"asking":2,"expired":1,"fitting":0,"free_cpu":9000,"free_accel":0}
{"at":119.000,"event":"job.ended","id":"00000000000000a7","state":"completed","took_ms":3000,"objective_ms":1300}
{"at":120.000,"event":"job.accepted","id":"00000000000000a8","queue":"q","team":"t","tasks":1,"chain_ms":700,"objective_ms":1300,"config":3}
{"at":120.500,"event":"run.ended","id":"00000000000000a8.0.0.0","run":1,"target":"t-5","how":"failed"}
{"at":121.000,"event":"task.used_up","id":"00000000000000a8.0.0.0","run":1,"max_attempts":1}
{"at":121.002,"event":"job.ended","id":"00000000000000a8","state":"failed","took_ms":1002,"objective_ms":1300}
LINES
for id in 00000000000000a8 00000000000000a7 00000000000000a1 00000000000000a2 00000000000000a3 00000000000000a4 00000000000000a5 00000000000000a6 00000000000000ff; do
    "$FP" explain $id "$LOGS/two" "$LOGS/one" | sed "s|$LOGS/||"
done
rm -rf "$LOGS"

# CURVE on the bus and TLS towards everyone: the cell works, and a process with
# a key of its own that is not in the settings cannot join.
SECURE=1
. tests/lib.sh
write_settings 3 3
export FILBERTPATH_CA=$WORK/cert.pem
FP_CA() { local command=$1; shift; "$FP" "$command" --ca "$WORK/cert.pem" "$@"; }
for i in 1 2 3; do start_host $i; done
for i in 1 2 3; do must_reach "h$i answers over TLS" 10 curl -sf --cacert "$WORK/cert.pem" "https://$(http_of $i)/healthz"; done
echo "without TLS: $(curl -s -o /dev/null -w '%{http_code}' "$(http_of 1)/healthz")"
FP_CA init --hosts "$(http_of 1)" >/dev/null
leads() { FP_CA status --json | grep -q '"is_leader": true'; }
must_reach "h1 leads" 10 leads
votes() { FP_CA dump --hosts "$(http_of 1)" --json | grep -c '"role": "voter"' | grep -qx "$1"; }
for i in 2 3; do
    until_true 10 FP_CA members add h$i
    must_reach "h$i votes" 15 votes $i
done
FP_CA team set kapnos --limit-running 3 >/dev/null
has() { FP_CA list team --hosts "$(http_of "$1")" --json | grep -q '"kapnos"'; }
for i in 1 2 3; do must_reach "h$i has the change" 10 has $i; done

say "a stranger takes the place of h3 with a key of its own"
kill_it h3
rm -rf "$WORK/h3"
STRANGER=$("$FP" draw --json)
OLD_PUBLIC=${PUBLIC[3]} OLD_SECRET=${SECRET[3]}
NEW_PUBLIC=$(sed -n 's/.*"curve_public_key": "\(.*\)",*$/\1/p' <<<"$STRANGER")
NEW_SECRET=$(sed -n 's/.*"curve_secret_key": "\(.*\)",*$/\1/p' <<<"$STRANGER")
FIND=$OLD_PUBLIC PUT=$NEW_PUBLIC FIND2=$OLD_SECRET PUT2=$NEW_SECRET perl -0pe \
    's/\Q$ENV{FIND}\E/$ENV{PUT}/g; s/\Q$ENV{FIND2}\E/$ENV{PUT2}/g' "$WORK/h3.yaml" >"$WORK/h3s.yaml"
"$FP" serve "$WORK/h3s.yaml" >>"$WORK/h3s.log" 2>&1 &
PIDS[h3]=$!
refused() { grep -q 'unknown key was refused' "$WORK/h1.log"; }
must_reach "h1 refuses it" 20 refused
FP_CA status --hosts "$(http_of 3)" --json | grep '"fresh"'
kill_it h3

say "the host itself comes back with its own key"
start_host 3
must_reach "h3 is replaced" 20 FP_CA members add h3
must_reach "h3 votes" 20 votes 3
must_reach "h3 has the change" 10 has 3

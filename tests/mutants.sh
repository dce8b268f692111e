#!/usr/bin/env bash
# mutants.sh -- mutation tests: each mutation removes one safeguard from a copy
# of the sources, and the named unit test must then fail. This shows that the
# test can fail. Not part of "make test" because it rebuilds the unit tests for
# each mutation.
# With --applies it only checks that each mutation still finds its text.
# Fields of the list, separated by tabs: file, text to find, replacement, filter
# for the test that must fail.
cd "$(dirname "$0")/.." || exit 1
COPY=$(mktemp -d "${TMPDIR:-/tmp}/filbertpath-mutants.XXXXXX")
trap 'rm -rf "$COPY"' EXIT
APPLIES=${1:-}
mkdir -p "$COPY/pristine"
cp -r Makefile base core node bench platform cli tests examples "$COPY/pristine/"
[ -n "$APPLIES" ] || (cd "$COPY/pristine" && make -s -j8 build/unit) >/dev/null || exit 1
CAUGHT=0
MISSED=0
while IFS= read -r line; do
    file=$(cut -f1 <<<"$line") find=$(cut -f2 <<<"$line") replace=$(cut -f3 <<<"$line") name=$(cut -f4 <<<"$line")
    [ -z "$file" ] && continue
    if [ -n "$APPLIES" ]; then
        if FIND=$find perl -0ne \
            'BEGIN { $f = $ENV{FIND}; $f =~ s/\\n/\n/g; } exit(index($_, $f) < 0)' "$file"; then
            CAUGHT=$((CAUGHT + 1))
        else
            echo "NOT APPLIED: $file: $find"
            MISSED=$((MISSED + 1))
        fi
        continue
    fi
    rm -rf "$COPY/work"
    cp -a "$COPY/pristine" "$COPY/work"
    FIND=$find REPLACE=$replace perl -0pi -e \
        'BEGIN { ($f, $r) = ($ENV{FIND}, $ENV{REPLACE}); s/\\n/\n/g for $f, $r; $f = quotemeta $f; } s/$f/$r/' "$COPY/work/$file"
    if cmp -s "$COPY/work/$file" "$file"; then
        echo "NOT APPLIED: $file: $find"
        MISSED=$((MISSED + 1))
        continue
    fi
    if (cd "$COPY/work" && make -s -j8 build/unit WARN= >/dev/null 2>"$COPY/errors"); then
        if (cd "$COPY/work" && timeout 120 build/unit --gtest_filter="$name" >/dev/null 2>&1); then
            echo "MISSED: $file: '$find' -> '$replace' by $name"
            MISSED=$((MISSED + 1))
        else
            echo "caught: $file: '$find' -> '$replace' by $name"
            CAUGHT=$((CAUGHT + 1))
        fi
    else
        echo "DOES NOT BUILD: $file: $find"
        MISSED=$((MISSED + 1))
    fi
done <<'LIST'
core/planticket.c	TICKET_MARGIN_MS + answer->age_ms	TICKET_MARGIN_MS	Plan.ATicketThatWas*
core/helpers.c	now_ms >= helper->resume_ms	true	Helpers.*
core/helpers.c	return helper->failures < found->failures;	return true;	Helpers.AHelperThatFails*
core/helpers.c	!helper_is_silent(helpers[i], now_ms)	is_usable(helpers[i], now_ms)	Helpers.ThoseThatPause*
core/helpers.c	(helper->busy || now_ms < helper->resume_ms)	helper->busy	Helpers.ALongQuery*
core/helpers.c	busy_long >= limit	false	Helpers.NoMoreAreUsed*
core/helpers.c	return helper->delay_ms / DELAY_STEP_MS <=	return 1 || helper->delay_ms / DELAY_STEP_MS <=	Helpers.OneThatAnswersSoon*
core/querypace.c	if (sent_ms < pace->decreased_ms) {	if (false) {	QueryPace.RefusalsHalve*
core/querypace.c	if (took_ms > LATE_FACTOR * usual_ms) {\n        decrease(pace, sent_ms, LATE_PERMILLE, LATE	if (false) {\n        decrease(pace, sent_ms, LATE_PERMILLE, LATE	QueryPace.FewQueries*
core/querypace.c	pace->base_permille = pace->probe_permille;	pace->base_permille = 0;	QueryPace.ASlowPolicyWith*
core/querypace.c	(short_query ? pace->answered_ms : pace->answered_long_ms)	pace->answered_ms	QueryPace.AShortAnswer*
core/querypace.c	if (sent_ms > pace->probe_ms) {	if (true) {	QueryPace.QueueingIsNot*
core/querypace.c	return MIN(hosts, 1);	return hosts;	QueryPace.QueueingIsNot*
core/querypace.c	now_ms >= pace->base_ms + BASE_INTERVAL_MS	pace->base_ms == 0	QueryPace.QueueingIsNot*
core/querypace.c	pace->limit_milli += 1000000 / pace->limit_milli;	pace->limit_milli += 0;	QueryPace.TheLimitRises*
core/querypace.c	return MIN(MAX(least_ms, measured_ms), MAX(least_ms, TIMEOUT_MAX_MS));	return least_ms;	QueryPace.TheTimeoutFollows*
core/helpers.c	MAX(pause_ms, MIN(expected_ms, TURN_MAX_MS))	pause_ms	Helpers.AQueryThat*
core/planticket.c	ticket == NULL && answer->is_late && target != NULL	false	Plan.AnAnswerToAQueryThat*
core/planticket.c	if (answer->is_late) {	if (false) {	Plan.AQueryThatWasGivenUp*
core/planticket.c	if (!could_hold(step)) {	if (false) {	Plan.TicketsForAGangThat*
core/planticket.c	return x->places ? -1 : 1;	return x->places ? 1 : -1;	Plan.AGangThatHasRoom*
core/planticket.c	longest->goes_first = true;	longest->goes_first = false;	Plan.AStepThatHadNoTurn*
core/planticket.c	plan_add_size(&used, &target->reserved);	(void)used;	Plan.ReservedRoom*
core/planticket.c	<< MIN(doublings, AHEAD_DOUBLINGS_MAX)	<< 0	Plan.RenewalsFor*
core/planticket.c	(granted && !ticket->doubtful) ||	true ||	Plan.ATargetWhoseRow*
core/planticket.c	(granted && !ticket->doubtful) ||	false ||	Plan.RefusalsOf*
core/planticket.c	<< MIN(step->unread_answers - 1, UNREAD_RETRY_DOUBLINGS_MAX)	<< 0	Plan.ATargetWhoseRow*
core/pick.c	return host != NULL || refused_count == 0	return false	Pick.*
core/cellwork.c	task->restarts >= RESTARTS_MAX	false	Cell.ATaskUnder*
core/plancrash.c	            evidence = CRASH_UNSURE;	            ;	Crash.ACrashBeforeAStart*
core/plancrash.c	crash.is_common = loss != LOSS_LEFT && has_common_cause(plan, target);	crash.is_common = false; (void)has_common_cause;	Crash.TargetsLostWithTheirRack*
core/plancrash.c	loss == LOSS_CRASHED || target->closed	true	Crash.ATargetThatIsCutOff*
core/plancrash.c	        plan_unsuspect_run(plan, target->runs->pdata[i]);	        ;	Crash.ABrokenConnection*
core/plancrash.c	return !step->is_trial || !has_new_run(target, step->job, now_ms);	return true || !has_new_run(target, step->job, now_ms);	Crash.ATrialIsHeldApart*
core/crashes.c	if (run <= crashes->cleared_run) {	if (false) {	Crash.EvidenceOfARun*
core/crashes.c	started >= CRASHES_OPEN_MAX)	false)	Crash.LeadersThatAreLost*
core/planfit.c	plan_may_crash_again(task) && 		Crash.LeadersThatAreLost*
core/planlist.c	    plan_clear_survivor(plan, run, requested_ms);	    (void)requested_ms;	Crash.ATaskThatOutlives*
core/fleet.c	if (crashes_verdict(task->crashes) == CRASH_PROVEN) {	if (false) {	Crash.ATaskWith*
core/planfit.c	plan_may_crash_again(task) && 		Replay.ATaskThatCrashes*
core/fleetsave.c	        task->crashes = load_crashes(&saved_task[i]);	        (void)load_crashes;	Crash.EvidenceIsRestored*
core/fleet.c	(!restarted && target->rec.sequence > rec->sequence)	false	Capacity.ALateAnnouncement*
core/fleet.c	(!restarted && target->rec.sequence > rec->sequence)	false	Replay.NoTargetIsOver*
core/planfit.c	free_capacity(target->capacity.cpu_milli, target->used.cpu_milli, 0);	target->capacity.cpu_milli - target->used.cpu_milli;	Capacity.Filler*
core/plan.c	    plan_check_reservation(plan, ptarget);	    ;	Capacity.AGangReserves*
core/planfit.c	    return capacity > used + reserved ? capacity - used - reserved : 0;	    return capacity - used - reserved;	Capacity.NothingStarts*
core/planrun.c	    if (answer == ORDER_UNKNOWN || answer == ORDER_CLOSED) {	    if (false) {	Replay.ASlowLeader*
core/failures.c	if (failures->runs[i] == run_number) {	if (failures->runs[i] >= run_number) {	Fleet.FailedRuns*
core/failures.c	if (failures->runs[i] == run_number) {	if (failures->runs[i] >= run_number) {	Plan.FailuresOfAnEarlier*
core/failures.c	if (failures->runs[i] == run_number) {	if (false) {	Fleet.AFailedRunIsCountedOnce*
core/raftquorum.c	    return before != NULL ? before : raft_members(raft);	    return raft_members(raft);	Raft.AVoterThatIsNotC*
core/raftquorum.c	    if (before != NULL && has_substitutes(before)) {	    if (false) {	Raft.ARemovalIsNot*
core/raftquorum.c	voters >= SUBSTITUTE_VOTERS_MIN && voters % 2 == 0	voters >= 3	Raft.Substitutes*
core/raftquorum.c	    if (substitute->id == 0 ||	    if (true ||	Raft.AReplacedHostAnd*
core/raftquorum.c	    return raft_same_voters(&before->members, &newest->members) ||	    return true ||	Raft.AllRestart*
core/raftquorum.c	before != NULL && i < before->list.count	false	Raft.AVoterDecides*
core/raftlead.c	!is_heard(raft, follower, now_ms)	false	Raft.ASilentMember*
core/raft.c	set_pre_vote_timer(raft, now_ms);\n    if	reset_election_timer(raft, now_ms);\n    if	Raft.LostRequests*
core/raft.c	if (raft->state == RAFT_PRE_CANDIDATE && !raft->disk_failed) {	if (false) {	Raft.ALeaderIsFoundSoon*
node/fetchplain.c	if (!is_alive(connection)) {	if (false) {	Fetch.AClosedIdle*
node/fetchtext.c	is_valid = is_valid && !has_line_break(header[1]);		Fetch.AHeaderWithALineBreak*
node/fetchplain.c	connection->exchange->is_sent && read_pending_input(connection)	false	Fetch.AnAnswerThatArrived*
node/fetchplain.c	connection->opened_ms >= opened_before_ms	false	Fetch.OpenedBefore*
core/raft.c	if (!msg->transfer && lease_may_be_held(raft, now_ms)) {	if (false) {	Raft.NoSecond*
core/raft.c	    if (raft->leased_to == raft->id) {\n        raft->election	    if (true) {\n        raft->election	Raft.NoSecond*
core/raft.c	    if (!is_recorded) {	    if (false) {	Raft.NoLeaseIsForgotten*
core/raft.c	    raft->leased_to = leader_id;	    ;	Raft.NoLeaseIsForgotten*
core/raft.c	if (msg->from_id != raft->leased_to || msg->term <= raft->term) {	if (msg->term <= raft->term) {	Raft.NoSecond*
core/raft.c	if (msg->from_id != raft->leased_to || msg->term <= raft->term) {	if (msg->from_id != raft->leased_to) {	Raft.ALateRequest*
core/raft.c	if (msg->from_id != raft->leased_to || msg->term <= raft->term) {	if (true) {	Raft.ALeaderIsFoundSoon*
core/raft.c	        raft->election_at_ms = now_ms;\n        return;	        reset_election_timer(raft, now_ms);\n        return;	Raft.ALeaderIsFoundSoon*
core/raft.c	(raft->voted_for == 0 || raft->voted_for == msg->from_id)	true	Raft.Holds*
core/raft.c	return msg->last_index >= raftlog_last_index(&raft->log);	return true;	Raft.*
core/raft.c	    raft->leader_heard_ms = now_ms;\n    raft->election_at_ms =	    raft->election_at_ms =	Raft.NoSecond*
core/raftlead.c	if (raft_leader_ready(raft, now_ms)) {	if (true) {	Raft.Holds*
core/raftlead.c	        return raft->synced_index;	        return raftlog_last_index(&raft->log);	Raft.LeaderCounts*
core/cellwork.c	else if (!cell_fits(target, &task->job->rec)) {	else if (false) {	Cell.*
core/cellwork.c	else if (!cell_within_limits(task->job->team, &task->job->rec, 1)) {	else if (false) {	Cell.*
core/cellwork.c	item->attempt != task->attempt + 1) {	false) {	Cell.*
core/cellroute.c	if (cell_granted_units(team, update->run_id) != update->was) {	if (false) {	Cell.*
core/cellroute.c	if (strcmp(entry->digest, intent->digest) != 0) {	if (false) {	Cell.*
core/cell.c	if (!check || given == current) {	if (true) {	Cell.*
core/cell.c	if (answer_from_recent_change(cell, head->change_id, answer)) {	if (false) {	Cell.*
core/route.c	instance->in_flight < instance->slots &&	true &&	Route.*
core/route.c	return !team->limited || team->in_flight < team->units;	return true;	Route.*
core/schedline.c	evict_gang(sched, task->job);		Sched.*
core/schedhost.c	if (host->probation_ms == 0) {	if (true) {	Sched.*
core/schedyield.c	return task->job->rec.kind == WORK_BATCH ||	return true ||	Sched.*
node/store.c	if (valid_frame_follows(bytes, size, at)) {	if (false) {	Store.*
node/store.c	if (valid_frame_follows(bytes, size, at)) {	if (!newest || valid_frame_follows(bytes, size, at)) {	Store.OlderLogThatReappearsWith*
node/store.c	if (store->write_failed) {\n        return FP_ERR_DISK;	if (false) {\n        return FP_ERR_DISK;	Store.*
node/store.c	        truncate_log(store);\n        store->failure	        store->failure	Store.AFrameWhoseSync*
node/store.c	err = sync_fd(store, store->log_fd, store->log_name);\n    }\n    if (err == FP_OK) {\n        err = sync_fd(store, store->folder_fd	;\n    }\n    if (err == FP_OK) {\n        err = sync_fd(store, store->folder_fd	Store.AStartWithAFailing*
node/store.c	store->write_failed = err != FP_OK;\n    return err;\n}\n\nenum fp_err\nstore_write_snapshot	return err;\n}\n\nenum fp_err\nstore_write_snapshot	Store.ARewriteEnds*
node/store.c	g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)	true	Store.AnIdentityThat*
core/members.c	!view->data_seen && view->empty_seeds * 2 > view->seeds	!view->data_seen && view->empty_seeds > 0	Members.ACellIsFounded*
core/members.c	!view->data_seen && view->empty_seeds * 2	view->empty_seeds * 2	Members.ACellIsFounded*
node/store.c	        err = sync_holding_folder(store, fd);	        err = FP_OK;	Store.AFolderThatTheHostCreates*
core/raft.c	        raft->disk_failed = false;	        ;	Raft.ReplicasVoteAgain*
core/raft.c	if (raft->disk_failed) {\n        if (type == MSG_APPEND)	if (false) {\n        if (type == MSG_APPEND)	Raft.AReplicaWithAFullDisk*
core/raft.c	raft->disk_failed = init->pending_write != 0;\n    raft->recovery_write = init->pending_write;\n    raft->last_write = init->pending_write;	;	Raft.AStartWithADisk*
core/planlist.c	if (task_number == UINT32_MAX) {\n        step = NULL;	if (false) {\n        step = NULL;	Plan.*
core/planinherit.c	plan->unlocated_of_any > 0 || job->pool->unlisted_targets > 0	plan->unlocated_of_any > 0	Plan.Inherited*
core/planinherit.c	(job->held_mark == plan->held_mark ||	(false ||	Plan.ATargetThatWasOut*
core/planinherit.c	if (!is_out) {	if (true) {	Plan.ATargetThatWasOut*
core/fleetsave.c	    fleet_save_outages(fleet, &snap);	    ;	Plan.ATargetThatWasOut*
core/fleet.c	            fleet_end_outage(target);	            ;	Plan.TheRecordOfAnOutage*
core/plan.c	if (run->start_in_flight || run->last_listed_ms == 0 ||	if (run->last_listed_ms == 0 ||	Plan.AnUnansweredStartIsStopped*
core/planlist.c	else if (run->stop_confirmed_ms != 0 &&\n                 run->stop_confirmed_ms < requested_ms) {	else if (run->stop_confirmed_ms != 0) {	Plan.AnUnanswered*
core/planfit.c	 && plan_has_attempts(step, number, 1);	;	Plan.NoStart*
core/planfit.c	count_step_runs(target, step) + target->members <\n                step->def->spread);	true);	Plan.AtMost*
core/planfit.c	count_step_runs(target, step) + target->members <\n                step->def->spread);	count_step_runs(target, step) < step->def->spread);	Plan.AGangThatIsSpread*
core/planfit.c	step->wait_reason = plan_team_reason(step);\n            return;	step->wait_reason = "its team is at its limit";	Plan.ATeamLimit*
core/planfit.c	now_ms + TICKET_MIN_REMAINING_MS < ticket->valid_until_ms	true	Plan.TicketsAre*
core/planticket.c	target->mark != plan->mark &&	true &&	Plan.AQueryAfterARefusal*
core/plan.c	if (run->start_in_flight || run->last_listed_ms == 0 ||	if (run->start_in_flight ||	Plan.AConfirmed*
core/fleetconf.c	if (config->version <= fleet->config.version) {	if (false) {	Fleet.TheHighest*
core/fleet.c	if (fleet_find_job(fleet, submit->id) != NULL) {	if (false) {	Fleet.AResubmitted*
core/members.c	return voters > 1 && alive > (voters - 1) / 2 ? silent : NULL;	return silent;	Members.*
node/store.c	truncate_entries(recovery->entries, 0);\n        }\n    }\n    g_array_append_val	return false;\n        }\n    }\n    g_array_append_val	Store.OlderLog*
core/planrun.c	set_unplanned_size(plan, run);	(void)set_unplanned_size;	Plan.RunsOfAnEnded*
core/planrun.c	run->size = run->target->capacity;	run->size.cpu_milli = 0;	Plan.ARunOfAnUnknown*
core/planinherit.c	if (!target->runs_known) {	if (false) {	Plan.ATeamLimitHolds*
core/fence.c	term << FENCE_SESSION_BITS | session	term << FENCE_SESSION_BITS	Fence.TheNextIncarnation*
core/fence.c	if (session > FENCE_SESSION_MAX) {	if (false) {	Fence.NoSessionReaches*
core/ends.c	ack->previous_call_ms != 0 &&		Ends.*
core/ends.c	ack->stored_number > ack->acked_number	ack->stored_number != 0	Ends.*
core/ends.c	ack->last_call_ms > ack->last_start_ms	true	Ends.NoAcknowledgementMeets*
core/ends.c	 && !start_on_its_way &&	 &&	Ends.NoAcknowledgementMeets*
core/planrun.c	now_ms < run->ordered_ms + PLAN_LATE_ORDER_MS	false	Plan.AStartIsOnItsWay*
node/fetch.c	if (transfer->opened_before_ms != 0 &&	if (false &&	Fetch.OpenedBefore*
core/planhold.c	search.slots->len >= member_count(step)	true	Plan.AGang*
core/planhold.c	return step->def->lasting ||\n           now_ms + run_time_ms > target->reserved_from_ms;	return true;	Plan.ShortWork*
core/planrun.c	    if (run->expected_end_ms > target->leaves_ms) {	    if (true) {	Plan.WorkWithACheckpoint*
core/planrun.c	return is_last_moment || (!def->checkpoints && !run->is_inherited);	return is_last_moment;	Plan.AGangWithoutCheckpoints*
core/planrun.c	run->expected_end_ms < now_ms;	false;	Plan.AnOverdueRun*
core/planpriv.h	!target->target->rec.departed && !target->in_evacuation;	!target->target->rec.departed;	Evac.AnEvacuatedDataCentreGets*
core/planevac.c	        release_target(plan, target);	        (void)release_target;	Evac.AReservationIs*
core/planevac.c	return count_away(step, now_ms) < away_limit(step->def);	return true;	Evac.LastingTasksAreMoved*
core/planevac.c	                has_room_elsewhere(plan, run->step, now_ms)	                has_room_elsewhere != NULL	Evac.ALastingTaskWithoutRoom*
core/planevac.c	           run->expected_end_ms > now_ms + FINISH_MAX_MS;	           true;	Evac.WorkThatEnds*
core/planevac.c	(now_ms < step->opened_ms + COLD_WAIT_MAX_MS ||	(true ||	Evac.AGangStartsOnCold*
core/planevac.c	(!step->def->gang && !plan_is_little_used(target->pool))	!step->def->gang	Evac.NoWorkWaitsLong*
core/planevac.c	    return now_ms < target->cold_until_ms && target->last_start_ms != 0 &&	    return false &&	Evac.ColdTargets*
core/fleetevac.c	    if (g_queue_find_custom(&data_centre->orders, change_id, compare_ids) !=\n        NULL) {	    if (compare_ids == NULL) {	Evac.ALateCopy*
core/fleetevac.c	    data_centre->evacuated = saved->evacuated;	    ;	Evac.ASnapshotKeeps*
core/fleet.c	    fleet_remember_data_centre(fleet, rec->data_centre);	    ;	Evac.ADataCentreStays*
core/planticket.c	        if (target->mark != plan->mark && plan_takes_starts(target) &&	        if (target->mark != plan->mark && target->usable &&	Evac.ThePolicyIsNot*
core/planage.c	return due_ms == 0 || due_mono_ms < 0 ?	return true ?	Plan.AnOccurrence*
core/shares.c	(has_room ? JOB_MICRO : 0)	0	Share.ATeamSaves*
core/shares.c	now_ms > share->updated_ms ? now_ms - share->updated_ms : 0	now_ms - share->updated_ms	Share.AClock*
core/fleet.c	    use_share(job);	    (void)use_share;	Shares.OnlyJobs*
core/fleet.c	i < team->offered_jobs	false	Shares.JobsThatAreProposed*
core/fleetsave.c	    save_shares(&snap, fleet);	    (void)save_shares;	Shares.ASnapshot*
core/fleetrec.c	    BOOL(fleet_job_saved, submit.beyond_share),		Shares.ASnapshot*
core/planorder.c	key[0] += CLASS_BEYOND_SHARE;	;	ShareOrder.WorkWithin*
core/planage.c	    return now_ms - MIN(age_ms, now_ms);	    return now_ms;	ShareOrder.Inherited*
core/planage.c	plan->fleet->now_ms + TERM_GAP_MAX_MS	UINT64_MAX	ShareOrder.AWallClock*
core/planage.c	pool->overdue_job->turns++;	;	ShareOrder.EvenWork*
core/planhold.c	(now_ms >= step->opened_ms + IDLE_RESERVED_MAX_MS &&\n         plan_is_little_used(target->pool))	false	Plan.WorkWaitsBriefly*
core/planhold.c	plan_is_little_used(target->pool))) {	true)) {	Plan.WorkWaitsFor*
core/planfit.c	(now_ms >= target->failing_until_ms ||\n            target->pool->most_are_failing) &&	now_ms >= target->failing_until_ms &&	Liveness.WorkStartsBeside*
core/planorder.c	failing > 1 && failing * 100 > usable * FAILING_MAX_PERCENT	failing > 1	Liveness.AFewTargets*
core/plan.c	move_tight_used(target, pool);	(void)move_tight_used;	Liveness.ATargetThatChanges*
core/planhold.c	return reserved_for->sort_key[0] >= CLASS_BEYOND_SHARE &&	return false &&	ShareOrder.AReservation*
core/planfit.c	if (plan->params.policy->packs_all) {	if (false) {	Pack.AScanGoes*
core/planticket.c	candidate.rank = plan->params.policy->packs_all	candidate.rank = false	Pack.AQueryNamesTargetsWith*
core/planticket.c	        rank = plan_count_fitting(target, &used, &size) > 0 ? 1ull << 32 : 0;	        rank = 0;	Pack.AQueryNamesTargetsThatAreFree*
core/planpack.c	if (capacity == 0 || used + size >= capacity) {	if (capacity == 0) {	Pack.ATargetThatShrank*
core/plancopy.c	plan->params.policy->copies && step->def->duplicates &&	plan->params.policy->copies &&	Copy.NothingIsDoubled*
core/plancopy.c	plan_has_attempts(step, run->task_number, 2)	true	Copy.AttemptsAreKept*
core/plancopy.c	task->runs == 1 && task->copies == 1 &&		Copy.AStraggler*
core/plancopy.c	plan_team_allows(plan, step, 1) &&		Copy.TheTeamLimit*
core/plancopy.c	budget->extra + extra <= budget->work * EXTRA_WORK_PERMILLE / 1000	true	Copy.ExtraWork*
core/plancopy.c	budget->is_full = true;	budget->is_full = false;	Copy.NoneWhile*
core/plancopy.c	task->open_crashes == 0 && 		Copy.NoneForACancelled*
core/plancopy.c	return (times->won + WON_PRIOR) * 1000 /	return 1000 + 0 * (times->won + WON_PRIOR) /	Copy.NoMoreThanTrials*
core/planlist.c	(task->copies == 1 && plan_allows_copies(plan, step))	false	Copy.ANewLeaderAdopts*
core/planlist.c	(task->copies == 1 && plan_allows_copies(plan, step))	true	Copy.ANewLeaderStops*
core/planrun.c	    if (task->runs == 1) {\n        step->pending--;	    if (task->runs >= 1) {\n        step->pending--;	Copy.AStraggler*
node/entry.c	load->requests >= bounds->requests	false	Entry.RequestsBeyond*
node/entry.c	load->request_bytes + body_bytes <= bounds->request_bytes	true	Entry.BodiesOf*
node/httpconn.c	buffer->len = MIN(buffer->len, bound - conns->input_bytes);		Entry.ASingleRead*
node/httpconn.c	!make_input_room(conns, conn, READ_BYTES_MIN)	false	Entry.InputIsBounded*
node/httpconn.c	        httpconns_watch(conn);\n        count_input(conn);\n        release_empty_input(conn);	        count_input(conn);	Entry.InputOfALaterRequest*
node/entry.c	sending_bytes + answer_bytes <= bounds->answer_bytes	true	Entry.AnswersThat*
node/httpconn.c	            httpconns_shut_down(other);\n		Entry.AnswersThat*
node/httpd.c	g_strcmp0(request->method, "GET") != 0	false	Entry.AnswersThat*
node/entry.c	(limits->max_fds - reserved) / shares->fds	limits->max_fds - reserved	Entry.TheListenersOf*
node/entry.c	[ENTRY_CONTROL] = {8, 8, 16, 128, 32	[ENTRY_CONTROL] = {8, 4, 8, 32, 8	Entry.TheListenersOf*
node/fetchplain.c	client->bodies_bytes + bytes > client->bodies_max_bytes	false	Fetch.AnswersAre*
node/fetchplain.c	        drop_body(largest);\n		Fetch.AnswersAre*
node/fetchplain.c	return client->bodies_bytes == connection->exchange->body->len;	return false;	Fetch.AnswersAre*
node/fetchplain.c	    client->bodies_bytes -= body_bytes;\n		Fetch.AnswersAre*
node/fetchplain.c	client->connecting < client->connections_max / CONNECTING_DIVISOR	true	Fetch.ConnectionsAre*
node/fetchplain.c	client->connecting += is_connecting ? 1 : -1;	client->connecting += is_connecting ? 1 : 0;	Fetch.ConnectionsAre*
core/room.c	use->job_bytes + bytes <= limits->job_bytes	true	Room.AJobIsTaken*
core/room.c	use->teams > 1 ? limits->job_bytes / 2 : limits->job_bytes	limits->job_bytes	Room.OneTeam*
core/fleet.c	    fleet_drop_progress(job);\n    fleet_count_job(fleet, job);	    fleet_drop_progress(job);	Room.TheStateCounts*
core/fleet.c	        count_job_bytes(fleet, job, 0);\n		Room.TheStateCounts*
core/fleetsave.c	        fleet_count_job(fleet, job);\n		Room.TheStateCounts*
node/entry.c	        return ENTRY_REPLACE_IDLE;	        return ENTRY_TAKE;	Entry.TheOldestIdle*
node/entry.c	return load->has_stalled && !load->has_ending	return load->has_stalled	Entry.StalledConnections*
node/httpconn.c	conn->sending_since_ms + ENTRY_STALLED_MS	conn->sending_since_ms	Entry.AConnectionThatLeaves*
node/httpconn.c	        httpconns_shut_down(stalled);\n		Entry.AConnectionThatLeaves*
node/httpconn.c	        conn->conns->ending -= conn->is_ending;\n		Entry.AConnectionThatLeaves*
node/httpconn.c	g_queue_push_tail_link(queue, link);	g_queue_push_head_link(queue, link);	Entry.TheOldestIdle*
node/httpconn.c	    conn->requests++;\n    set_idle(conn, false);	    conn->requests++;	Entry.TheOldestIdle*
node/httpconn.c	conns->input_bytes + bytes > conns->bounds.partial_bytes	false	Entry.SlowSenders*
node/settings.c	value != 0 && !(value >= min && value <= max)	false	Settings.ErrorsName*
core/planspeed.c	    speed->permille = sorted[kept / 2];	    speed->permille = sorted[kept - 1];	Speed.RunsOfTheTail*
core/planspeed.c	if (permille < CREDIBLE_PERMILLE || target->removed) {	if (target->removed) {	Speed.ATargetThatEndsTooEarly*
core/planspeed.c	    if (target->kind != kind) {	    if (false) {	Speed.ATargetOfAnotherKind*
core/planspeed.c	        if (strcmp(*item, rec->rack) != 0) {	        if (true) {	Speed.ATargetOfAnotherKind*
core/planspeed.c	           now_ms <= speed->learned_ms + SPEED_AGE_MS;	           true;	Speed.NothingIsKnown*
core/planspeed.c	    step->typical_run_ms = MAX(ends[step->def->count / 2].run_ms, 1);	    step->typical_run_ms = step->def->estimate_ms;	Speed.ASlowTargetIsKnown*
core/planspeed.c	#define OWN_OLD_WEIGHT 15u	#define OWN_OLD_WEIGHT 0u	Speed.ATargetThatTurnsSlow*
core/planticket.c	if (plan->params.policy->learns_speeds && !step->def->lasting &&	if (false &&	Speed.QueriesName*
core/planfit.c	    if (run_ms <= in_time_ms) {	    if (true) {	Speed.WorkWithoutSlack*
core/planspeed.c	        run_ms = typical_run_ms(plan, step);	        run_ms = step->def->estimate_ms;	Speed.ExpectedEnds*
core/plan.c	        if (pjob->runs.head == NULL) {\n            plan_job_removed(plan, pjob->job);	        if (pjob->job == NULL) {\n            plan_job_removed(plan, pjob->job);	Memory.Ended*
core/planticket.c	plan->params.policy->by_share && step->job->job->beyond_share	false	ShareOrder.ThePolicyIs*
core/planinherit.c	        if (has_unlisted_target(plan, former->pdata[i])) {	        if (false) {	Inherit.WorkOfAMovedQueue*
core/planinherit.c	plan->unlocated_of_any > 0 || 		Inherit.ATargetThatChanged*
core/fleetservices.c	    job->any_service = list->count == 0;	    job->any_service = false;	Inherit.WorkFromAnOlder*
core/fleetrec.h	#define FLEET_CHECKPOINT_BYTES 1024u	#define FLEET_CHECKPOINT_BYTES 64u	Lists.ACheckpointIsKept*
core/fleetrec.h	MAX_BYTES (64u * 1024 * 1024)	MAX_BYTES (4u * 1024 * 1024)	Lists.TheLargestJob*
platform/lists.c	        out[0] = '\0';\n        return false;	        return true;	Lists.ACheckpointBeyond*
platform/lists.c	!copy_row_text(row, 0, ticket.id, sizeof(ticket.id)) ||	!(copy_row_text(row, 0, ticket.id, sizeof(ticket.id)) || true) ||	Lists.Tickets*
platform/wire.c	        key[0] = '\0';\n        return false;	        return true;	Wire.AKeyThatIsTooLong*
core/fleet.c	    if (rec->born_ms > wall_ms + BORN_AHEAD_MAX_MS) {	    if (false) {	Fleet.AnAnnouncementFromTheFuture*
platform/lenient.c	                 depth == LENIENT_DEPTH_MAX) {	                 depth == SIZE_MAX) {	Lists.AnInvalidEntry*
platform/lenient.c	            g_string_append(out, "null");\n            ++*replaced;\n            return;	            g_string_append_len(out, start, (gssize)bytes);\n            return;	Lists.AnInvalidEntry*
platform/lists.c	return value > 0 && value <= UINT32_MAX;	return value > 0;	Lists.RowsWithNumbers*
platform/lists.c	end.number > WIRE_EXACT_MAX ||		Lists.EndsWithNumbers*
node/settings.c	            fleet->seeds[kept++] = fleet->seeds[i];\n        }\n        else {	            fleet->seeds[kept++] = fleet->seeds[i];\n        }\n        else {\n            return false;	Settings.AnInvalidSeed*
platform/wire.c	        thousandths > UINT32_MAX / 2) {	        false) {	Wire.NumbersOutOfRange*
core/planorder.c	MIN(objective_ms, UINT32_MAX / PLAN_EXPIRY_FACTOR)	objective_ms	Fleet.TimesThatAreTooLong*
core/fleet.c	submit->first_due_ms > FLEET_DUE_MAX_MS	false	Fleet.TimesThatAreTooLong*
core/lease.c	return MAX(configured_ms, stored_ms);	return configured_ms;	Lease.ALeaderWaits*
core/lease.c	return MIN(configured_ms, stored_ms);	return configured_ms;	Lease.NoLeaseOutlives*
core/lease.c	(configured_ms < stored_ms && are_earlier_over)	(configured_ms < stored_ms)	Lease.NoLeaseOutlives*
core/cellconf.c	cell->now_ms < cell->former_until_ms	false	Cell.RequestsLast*
core/fleetsave.c	    fleet_save_services(job, &saved.services);\n		Inherit.EachService*
node/relay.c	if (g_hash_table_contains(relay->handled, caller) &&	if (false &&	Relay.ACallThatIsBeing*
core/resend.c	(times->mean_us + spread_us) / 1000	spread_us * 0	Resend.AHost*
core/resend.c	while (open_copies > 1 &&	while (open_copies > 9 &&	Resend.ThePause*
node/fetchplain.c	request->source != NULL &&	false &&	Fetch.AConnectionComes*
node/fetchplain.c	server->source_failures < SOURCE_FAILURES_MAX	true	Fetch.AServerOutOfReach*
node/fetchplain.c	now_ms < server->source_retry_ms	true	Fetch.ASourceAddressOutOfReach*
node/fetchplain.c	|| !may_be_due_to_source(status)		Fetch.AServerThat*
node/fetch.c	source->sa_family == address->family &&	false &&	Fetch.AConnectionComes*
core/raftlead.c	msg->received_bytes == follower->snap_offset_bytes &&	false &&	Raft.ASnapshotCrosses*
core/raftlead.c	(now_ms - msg->echo_sent_ms) * 2	now_ms % 2	Raft.ASnapshotCrosses*
core/resend.c	while (refusals > REFUSALS_QUICK	while (refusals > 1000000	Relay.CallsWait*
core/fleetsave.c	    fleet_save_removed_queues(fleet, &snap);\n		Fleet.ADroppedQueueWith*
core/fleetconf.c	!job->queue->configured && fleet_job_is_live(job)	!job->queue->configured	Fleet.SnapshotsHoldDropped*
core/fleetsave.c	        fleet_load_removed_queues(loaded, &snap);\n		Inherit.WorkOfAQueueThatWasRemovedStarts*
core/fleet.c	    if (removal->is_notice) {	    if (false) {	Departed.TheRunsOfARemovedTargetStart*
core/fleet.c	            mark_departed(fleet, other);	            remove_target(fleet, other);	Departed.AnotherTarget*
core/fleetrec.c	    BOOL(fleet_target_rec, departed),\n		Departed.ALaterLeader*
core/planpriv.h	           !target->target->rec.departed && !target->in_evacuation;	           !target->in_evacuation;	Departed.ATargetThatIsSaid*
core/plan.c	            run->start_resent) {	            false) {	Departed.ALateCopy*
core/plan.c	            run->awaits_list_ms = now_ms;	            plan_drop_lost_run(plan, run, now_ms);	Departed.AnAnnounced*
core/planlist.c	    if (!list->is_cut) {	    if (true) {	Lists.ARunBeyond*
core/planlist.c	ptarget->runs_known || !list->is_cut;	true;	Lists.InheritedWorkWaits*
platform/lists.c	return json_array_size(list) >= LISTS_ENDS_MAX;	return ends->len >= LISTS_ENDS_MAX;	Lists.AListOfEnds*
core/members.c	if (!silent && !replicas[i].leaving) {	if (!silent) {	Members.AVoterThatIsBeing*
core/members.c	!replicas[i].member && !replicas[i].leaving &&	!replicas[i].member &&	Members.AReplicaThatIsBeing*
core/members.c	staying < MIN_VOTERS || staying / 2 >= voters / 2	staying < MIN_VOTERS	Members.AVoterThatIsBeing*
core/members.c	            !is_former_replica(replicas, count, &replicas[i]) &&\n		Members.TheFormer*
core/fleet.c	is_newest = is_newest && other->rec.departed;	is_newest = false;	Departed.ATargetThatHasDepartedL*
core/plancrash.c	ptarget->silent_ms == 0 && !target->rec.departed	ptarget->silent_ms == 0	Departed.TheRunsOfARemovedTargetStartElsewhereOnceItsLease*
core/planrun.c	is_last_moment = target->departed ||	is_last_moment = false ||	Departed.TheRunsOfARemovedTargetStartElsewhereOnceThey*
core/fleet.c	           (known->leaving || !known->departed) &&\n		Departed.ATargetThatAnnounces*
core/fleet.c	bool departed = leaving && !restarted && target->rec.departed;	bool departed = false;	Departed.ALeavingTargetThatHas*
node/zmtp.c	(flags & FLAG_MORE) != 0 || 		Zmtp.PartsOfAMessage*
node/zmtp.c	size > (is_command ? COMMAND_MAX_BYTES : zmtp->message_max_bytes)	false	Zmtp.APeerThat*
node/zmtp.c	    return body_room(zmtp, zmtp->position_bytes +	    return 0 * body_room(zmtp, zmtp->position_bytes +	Zmtp.MessagesCome*
node/zmtp.c	MAX(needed_bytes, 2 * zmtp->room_bytes)	zmtp->body_bytes	Zmtp.AnIncomplete*
node/entry.c	MAX(memory / BUS_PARTIAL_MEMORY_DIVISOR, BUS_PARTIAL_BYTES_MIN)	memory / BUS_PARTIAL_MEMORY_DIVISOR	Entry.TheBusOf*
core/plancrash.c	now_ms >= run->ordered_ms + RESTART_MIN_MS	true	Crash.AnOrderToATarget*
core/plancrash.c	(target->closed && target->silent_ms >= run->ordered_ms &&	(target->silent_ms >= run->ordered_ms &&	Crash.AnOrderThatADark*
core/plancrash.c	other_crashes(run) >= UNSURE_STARTS_MAX ||	false ||	*ATaskWhoseStartsHaveNoAnswer*
core/plancrash.c	            end_open_crash(run);	            ;	*ATaskWhoseStartsHaveNoAnswer*
core/planattempts.c	            plan_is_held(plan, step->job)) {	            false) {	Attempts.ANewLeader*
core/planattempts.c	        !has_run(step, step->first_task + id->index) &&		Attempts.ARunAtWork*
core/planattempts.c	now_ms < step->job->next_report_ms ||		Attempts.AReportThat*
core/planattempts.c	now_ms < review.since_ms + REVIEW_MS ||		Attempts.ALimitThatRisesAgain*
core/planattempts.c	step->def->gang ? step->def->count : 1;\n\n    for (uint32_t i = 0; i < count; i++) {\n        if (tasks[i]	1;\n\n    for (uint32_t i = 0; i < count; i++) {\n        if (tasks[i]	Attempts.AGangWaits*
core/planrun.c	        plan_review_attempts(plan, step, run->task_number);		Attempts.AJobFailsWhoseLast*
core/plan.c	            plan_review_job_attempts(plan, pjob);		Attempts.AJobFailsWhoseTaskWaits*
core/plan.c	    plan_review_job_attempts(plan, pjob);\n}	}	Attempts.AJobIsGivenUp*
core/raft.c	early.match_index = MIN(reply->match_index, raft->synced_index);	;	Raft.HoldsUnderRandomFailuresAndSlowDisks:SlowDisk.AnEarlyAnswer*
core/raft.c	                   &early, raft->last_vote_write);	                   &early, 0);	SlowDisk.ANewLeader*
core/raft.c	return raft->pending_writes->len > 0 &&	return false &&	SlowDisk.ASteadyLeader*
core/raft.c	if (msg->pre && vote_is_pending(raft)) {	if (false) {	SlowDisk.*
core/raft.c	uint64_t wait_ms = 2 * MAX(raft->write_ms, raft->late_vote_ms);	uint64_t wait_ms = 0;	SlowDisk.ALeaderIsElectedWhateverSyncsTake
core/raft.c	2 * MAX(raft->write_ms, raft->late_vote_ms)	2 * raft->write_ms	SlowDisk.ACandidateWaits*
core/raft.c	        if (reply.granted && !try_promise(raft, msg, now_ms)) {	        if (false) {	SlowDisk.ALeaderIsElectedWhateverSyncsTake
core/raft.c	if (!vote_is_pending(raft) && !has_promised(raft, now_ms)) {	if (!has_promised(raft, now_ms)) {	SlowDisk.*
core/raft.c	return; /* repeats hold others up no longer */	;	SlowDisk.AReplicaThatCannotWin*
core/planteam.c	(use->used * 2 < use->limit && total - use->size <= use->limit);	false;	TeamLimit.ATaskLarger*
core/planteam.c	use->used * 2 < use->limit && 		Plan.ATeamLimitIsNever*
core/planteam.c	            team->kept_for = step;	            ;	TeamLimit.SmallWork*
core/planteam.c	           (waited_ms - KEEP_AFTER_MS) / KEEP_MS % 2 == 0 &&		TeamLimit.ALargeTask*
core/planadmit.c	if (!plan_fits_team(team, &step[i])) {	if (false) {	TeamLimit.AGangThatCannotRunIsRefused
core/fleet.c	        fleet_drop_unused_queues(fleet);	        ;	Fleet.QueuesOfFormer*
core/fleet.c	        fleet_drop_unused_queue(fleet, queue);	        ;	Fleet.AQueueIsForgotten*
core/fleetconf.c	return !queue->configured && queue->jobs == 0;	return !queue->configured;	Fleet.QueuesOfFormer*
core/raft.c	raft->voted_for != 0 && !raft->disk_failed;	!raft->disk_failed;	SlowDisk.AFounder*
LIST
echo "$CAUGHT passed, $MISSED failed"
[ "$MISSED" = 0 ]

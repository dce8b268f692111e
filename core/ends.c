/* ends.c -- acknowledgement of the ends of runs to a target */
#include "core/ends.h"

uint64_t
ends_number_to_ack(const struct ends_ack *ack)
{
    return ack->previous_call_ms != 0 && ack->stored_number > ack->acked_number
               ? ack->stored_number
               : 0;
}

void
ends_lack_old_connection(struct ends_ack *ack)
{
    ack->lacks_old_connection = true;
}

bool
ends_await_call(const struct ends_ack *ack)
{
    return ack->lacks_old_connection && ack->stored_number > ack->acked_number;
}

uint64_t
ends_number_for_any_connection(const struct ends_ack *ack,
                               bool start_on_its_way)
{
    return ends_await_call(ack) && !start_on_its_way &&
                   ack->last_call_ms > ack->last_start_ms
               ? ack->stored_number
               : 0;
}

void
ends_start_sent(struct ends_ack *ack, uint64_t now_ms)
{
    ack->last_start_ms = now_ms;
}

void
ends_mark_stored(struct ends_ack *ack, uint64_t number)
{
    if (number > ack->stored_number) {
        ack->stored_number = number;
    }
}

void
ends_call_answered(struct ends_ack *ack, uint64_t number, uint64_t call_ms)
{
    ack->previous_call_ms = ack->last_call_ms;
    ack->last_call_ms = call_ms;
    if (number > ack->acked_number) {
        ack->acked_number = number;
        ack->lacks_old_connection = false;
    }
}

void
ends_call_unanswered(struct ends_ack *ack)
{
    ack->last_call_ms = 0;
    ack->previous_call_ms = 0;
    ack->lacks_old_connection = false;
}

/* ends.c -- up to which end a target may be told that its ends are stored */
#include "core/ends.h"

uint64_t
ends_to_tell(const struct end_marks *marks)
{
    return marks->before_ms != 0 && marks->stored > marks->told ? marks->stored
                                                                : 0;
}

void
ends_stored(struct end_marks *marks, uint64_t number)
{
    if (number > marks->stored) {
        marks->stored = number;
    }
}

void
ends_answered(struct end_marks *marks, uint64_t number, uint64_t asked_ms)
{
    marks->before_ms = marks->asked_ms;
    marks->asked_ms = asked_ms;
    if (number > marks->told) {
        marks->told = number;
    }
}

void
ends_unanswered(struct end_marks *marks)
{
    marks->asked_ms = 0;
    marks->before_ms = 0;
}

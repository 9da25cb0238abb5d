/* Replies of peers: a peer that runs other code must not make a node pass on an answer
 * with a status that HTTP does not have. */
#include "case.h"

#include "egretscaled/peers/call_codec.h"

#define ANSWERED EGRET__OUTCOME__OUTCOME_ANSWERED
#define NOT_RUN EGRET__OUTCOME__OUTCOME_NOT_RUN
#define UNKNOWN EGRET__OUTCOME__OUTCOME_UNKNOWN
#define NONE EGRET__REASON__REASON_NONE
#define TARGET_LOST EGRET__REASON__REASON_TARGET_LOST
#define SHED EGRET__REASON__REASON_SHED

typedef struct reply_case {
	const char *name;
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	Egret__Outcome decoded_outcome;
	Egret__Reason decoded_reason;
	uint32_t decoded_status;
} reply_case_t;

static void test_reply(void **state)
{
	const reply_case_t *c = *state;
	Egret__Reply wire = EGRET__REPLY__INIT;
	call_reply_t reply;

	wire.outcome = c->outcome;
	wire.reason = c->reason;
	wire.status = c->status;
	call_reply_decode(&wire, &reply);
	assert_int_equal(reply.outcome, c->decoded_outcome);
	assert_int_equal(reply.reason, c->decoded_reason);
	assert_int_equal(reply.status, c->decoded_status);
	g_ptr_array_unref(reply.headers);
}

static const reply_case_t reply_cases[] = {
	{"an answer", ANSWERED, NONE, 200, ANSWERED, NONE, 200},
	{"an answer with the highest status", ANSWERED, NONE, 599, ANSWERED, NONE, 599},
	{"an answer without a status", ANSWERED, NONE, 0, UNKNOWN, TARGET_LOST, 0},
	{"an answer with status 99", ANSWERED, NONE, 99, UNKNOWN, TARGET_LOST, 0},
	{"an answer with status 100", ANSWERED, NONE, 100, UNKNOWN, TARGET_LOST, 0},
	{"an answer with status 199", ANSWERED, NONE, 199, UNKNOWN, TARGET_LOST, 0},
	{"an answer with status 600", ANSWERED, NONE, 600, UNKNOWN, TARGET_LOST, 0},
	{"an answer with status 999", ANSWERED, NONE, 999, UNKNOWN, TARGET_LOST, 0},
	{"an answer with the highest number", ANSWERED, NONE, UINT32_MAX, UNKNOWN,
	 TARGET_LOST, 0},
	{"a refusal", NOT_RUN, SHED, 0, NOT_RUN, SHED, 0},
	{"a refusal of the target", NOT_RUN, SHED, 503, NOT_RUN, SHED, 503},
	{"an unknown outcome", UNKNOWN, TARGET_LOST, 0, UNKNOWN, TARGET_LOST, 0},
	/* Of a later version of the protocol; 3 must not be taken as a refusal. */
	{"an outcome that is not defined", (Egret__Outcome)3, SHED, 0, UNKNOWN, SHED, 0},
};

typedef struct end_case {
	const char *name;
	bool ends_with_connection;
} end_case_t;

/* A node that is not told that a body ends with the connection would take a crash within
 * it for a completion. */
static void test_end(void **state)
{
	const end_case_t *c = *state;
	call_reply_t reply = {.outcome = ANSWERED,
			      .status = 200,
			      .ends_with_connection = c->ends_with_connection};
	call_reply_t copy;
	Egret__Reply wire;
	Egret__Load load;

	call_reply_encode(&reply, &wire, &load);
	call_reply_decode(&wire, &copy);
	assert_int_equal(copy.ends_with_connection, c->ends_with_connection);
	g_ptr_array_unref(copy.headers);
	call_reply_encode_clear(&wire);
}

static const end_case_t end_cases[] = {
	{"a body that ends with the connection", true},
	{"a body that does not", false},
};

int main(void)
{
	int failed = RUN_CASES("reply", reply_cases, test_reply);

	failed += RUN_CASES("end", end_cases, test_end);
	return failed;
}

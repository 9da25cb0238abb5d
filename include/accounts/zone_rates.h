#ifndef EGRET_ACCOUNTS_ZONE_RATES_H
#define EGRET_ACCOUNTS_ZONE_RATES_H

#include "accounts/shares.h"
#include "common/address.h"
#include "membership/directory.h"

/*
 * NAME
 *	zone_rates - one node's part in the rates of client accounts over all nodes
 *
 * DESCRIPTION
 *	A state machine without I/O. Accounts are hashed into KEEPER_PARTITIONS
 *	partitions. In each zone the tokens of a partition are at one node, its
 *	*holder*: the live member of the zone with the highest hash. The holders of
 *	a partition, one for each zone, divide the rates by demand (accounts/shares.h).
 *	All other nodes take their tokens from the holder of their zone, so a zone's
 *	tokens are never split into fractions, however many nodes it has, and reports
 *	of demand pass between the holders only.
 *
 *	Members of a zone that are dead, or that a node has just started to look for,
 *	may be alive behind a network partition, with a holder of their own. A holder
 *	therefore uses only the part of its zone's share that corresponds to the
 *	members that it reaches. A holder that no node answers uses none of it until
 *	its directory has the others as dead: until then they use its part as well.
 *
 *	A node with much demand for an account takes some tokens ahead of need, for
 *	TOKEN_LIFETIME.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define TOKEN_LIFETIME (200 * USEC_PER_MSEC)

typedef struct zone_rates zone_rates_t;

/* `zones` is a NULL-terminated list of all zones; the own zone is added if it is missing.
 */
zone_rates_t *zone_rates_create(const char *address, const char *zone,
				const char *const *zones, usec_t now);
void zone_rates_destroy(zone_rates_t *rates);

uint32_t zone_rates_zone_count(const zone_rates_t *rates);
uint32_t zone_rates_own_zone(const zone_rates_t *rates);

/* Updates the holders from the members of a directory. */
void zone_rates_set_members(zone_rates_t *rates, const struct member_list *members,
			    usec_t now);

/* The members have changed since zone_rates_set_members(). */
void zone_rates_set_stale(zone_rates_t *rates);
bool zone_rates_is_stale(const zone_rates_t *rates);

/* Number of nodes that are known to exist, also without an entry in the directory. */
void zone_rates_set_node_count(zone_rates_t *rates, uint32_t count);

/* Releases the partitions that this node no longer holds. Called periodically. */
void zone_rates_tick(zone_rates_t *rates, usec_t now);

/* Address of the holder of the account's partition in a zone, which may be this node;
 * NULL if there is none that replies. `passed_over`: a holder that left a question of the
 * same request unanswered, or NULL; its successor is used. */
const char *zone_rates_holder(const zone_rates_t *rates, uint32_t zone,
			      const char *account, const char *passed_over, usec_t now);

const char *zone_rates_partition_holder(const zone_rates_t *rates, uint32_t zone,
					uint32_t partition, usec_t now);

/* The node does not reply. For some time, its successor is used instead, unless it has
 * replied to another question lately. */
void zone_rates_set_silent(zone_rates_t *rates, const char *address, usec_t now);

/* The partitions that this node holds, as bits. */
uint32_t zone_rates_held(const zone_rates_t *rates);

/* The part of its zone's share that this node uses as a holder. */
double zone_rates_part(const zone_rates_t *rates);

/* Whether this node receives nothing from others, although it asks them or they are to
 * report.
 */
bool zone_rates_is_cut_off(const zone_rates_t *rates);

/* --- Holder -------------------------------------------------------------- */

typedef struct token_question {
	const char *account;
	const char *asker; /* the node that asks; NULL for this node */
	uint32_t wanted;
	usec_t wait_max; /* accepted until the token is due */
	bool lend;	 /* for another zone */
	bool repeated;	 /* the requests were counted as demand before */
	/* The same if the question is asked again because no answer came; it then gets
	 * the same answer instead of further tokens. 0: not asked again. */
	uint64_t id;
} token_question_t;

typedef struct token_answer {
	uint32_t tokens; /* 0: denied */
	usec_t wait;	 /* until they are due */
	bool over_rate;	 /* denied because the account is above its rate */
	double pressure; /* demand of the account in all zones, divided by its rate */
} token_answer_t;

void zone_rates_answer(zone_rates_t *rates, const token_question_t *question,
		       const account_limits_t *limits, usec_t now, token_answer_t *out);

/* Whether this node is to report its demand for the accounts of a partition. If so, calls
 * fn with each of them, and takes them as reported. */
bool zone_rates_report(zone_rates_t *rates, uint32_t partition, usec_t now,
		       shares_demand_fn fn, void *ctx);

/* A report of another zone's holder: this, then zone_rates_add_demand() for each
 * account. Reports of unknown zones are ignored. */
void zone_rates_begin_report(zone_rates_t *rates, uint32_t partition, const char *zone,
			     usec_t now);
void zone_rates_add_demand(zone_rates_t *rates, uint32_t partition, const char *zone,
			   uint32_t account_id, double demand);

/* --- Every node ---------------------------------------------------------- */

/* Counts a request as demand here. Takes a token that was received ahead of need, if
 * there is one; else writes how many tokens to ask for and returns false. */
bool zone_rates_take(zone_rates_t *rates, const char *account, usec_t now,
		     uint32_t *wanted);

/* An answer of a holder was received: stores the account's pressure, and its tokens but
 * the one for the request that waits. */
void zone_rates_store_answer(zone_rates_t *rates, const char *holder, const char *account,
			     const token_answer_t *answer, usec_t now);

/* The account's pressure as last received; 0 if not known. */
double zone_rates_pressure(const zone_rates_t *rates, const char *account);

#endif

#ifndef EGRET_EGRETSCALED_RATES_SHARES_IO_H
#define EGRET_EGRETSCALED_RATES_SHARES_IO_H

#include "accounts/zone_rates.h"
#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	shares_io - account rates by shares of the zones
 *
 * DESCRIPTION
 *	The control thread answers questions for tokens of the partitions that this
 *	node holds, and reports their demand to the holders in the other zones
 *	(accounts/zone_rates.h). See token_wait.h for the other side.
 *
 * THREADS
 *	The control thread, except shares_io_answer(). node.zone_rates is guarded by
 *	account_lock.
 */

/* Tokens of one answer, at most. */
#define SHARES_IO_TOKENS_MAX 1000

typedef struct shares_io shares_io_t;

shares_io_t *shares_io_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      node_t *node);
void shares_io_destroy(shares_io_t *io);

/* A member of the directory changed. Called under gossip_lock. */
void shares_io_handle_member(node_t *node, const member_t *member);

/* The platform's list holds this many addresses of nodes. */
void shares_io_set_node_count(node_t *node, uint32_t count);

/* Handles the report of another zone's holder. It may span several datagrams. */
void shares_io_handle_demand(node_t *node, const Egret__Gossip *message);

/* Handles another node's question for tokens. */
void shares_io_handle_question(node_t *node, const Egret__Gossip *message);

/* Answers a question to this node as a holder. Returns false if it does not know the
 * account, for example because it has just started; its successor is then asked. */
bool shares_io_answer(node_t *node, const token_question_t *question,
		      token_answer_t *out);

#endif

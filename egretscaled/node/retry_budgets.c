#include "egretscaled/node/node.h"

#define RETRY_RATIO_DEFAULT 0.1

/* Returns the maximum number of retry tokens that this node holds for one service. */
static double retry_tokens_max(node_t *node)
{
	if (!node->settings->on_platform)
		return RETRY_BUDGET_TOKENS_MAX;
	pthread_mutex_lock(&node->gossip_lock);
	uint32_t nodes = directory_live_count(gossip_directory(node->gossip));
	pthread_mutex_unlock(&node->gossip_lock);
	return retry_budget_tokens_max(node_bounds(node)->retry_min, nodes);
}

/* A new budget starts full, so that the first call to a service may be retried. Under
 * router_lock. */
static retry_budget_t *find_retry_budget(node_t *node, const char *service,
					 double tokens_max)
{
	retry_budget_t *budget = g_hash_table_lookup(node->retry_budgets, service);

	if (!budget) {
		budget = g_new0(retry_budget_t, 1);
		budget->tokens = tokens_max;
		g_hash_table_insert(node->retry_budgets, g_strdup(service), budget);
	}
	return budget;
}

/* The budget counts what one node sends, while the bound counts arrivals at the instances
 * in any window: the margin covers the delay in between, and retries of other causes. */
#define RESEND_RATIO_USED 0.85
/* Returns NULL if the deployment states no bound. Under router_lock. */
static resends_t *find_resends(node_t *node, const char *service)
{
	const bounds_t *bounds = node_bounds(node);
	resends_t *resends = g_hash_table_lookup(node->resends, service);

	if (resends || bounds->resend_ratio <= 0)
		return resends;
	resends = resends_create(bounds->resend_ratio * RESEND_RATIO_USED,
				 bounds->retry_window);
	g_hash_table_insert(node->resends, g_strdup(service), resends);
	return resends;
}

void node_resend_record(node_t *node, const char *service, bool rejected, usec_t now)
{
	resends_t *resends = find_resends(node, service);

	if (resends)
		resends_record_result(resends, rejected, now);
}

bool node_resend_take(node_t *node, const char *service, usec_t now)
{
	resends_t *resends = find_resends(node, service);

	return resends && resends_take(resends, now);
}

double node_completable_share(node_t *node, const char *service, usec_t now)
{
	resends_t *resends = g_hash_table_lookup(node->resends, service);

	return resends ? resends_completable_share(resends, now) : 1.0;
}

void node_retry_budget_deposit(node_t *node, const char *service)
{
	config_t *config = node_config(node);
	const service_record_t *record = config_service(config, service);
	double ratio = record ? record->retry_ratio : RETRY_RATIO_DEFAULT;
	double tokens_max = retry_tokens_max(node);

	config_unref(config);
	pthread_mutex_lock(&node->router_lock);
	retry_budget_deposit(find_retry_budget(node, service, tokens_max), ratio,
			     tokens_max);
	resends_t *resends = find_resends(node, service);
	if (resends)
		resends_record_call(resends, clock_boot_usec());
	pthread_mutex_unlock(&node->router_lock);
}

bool node_retry_budget_withdraw(node_t *node, const char *service)
{
	pthread_mutex_lock(&node->router_lock);
	bool allowed = retry_budget_withdraw(
		find_retry_budget(node, service, RETRY_BUDGET_TOKENS_MAX));
	resends_t *resends = allowed ? find_resends(node, service) : NULL;
	if (resends)
		resends_record_retry(resends, clock_boot_usec());
	pthread_mutex_unlock(&node->router_lock);
	return allowed;
}

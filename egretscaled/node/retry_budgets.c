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
	pthread_mutex_unlock(&node->router_lock);
}

bool node_retry_budget_withdraw(node_t *node, const char *service)
{
	pthread_mutex_lock(&node->router_lock);
	bool allowed = retry_budget_withdraw(
		find_retry_budget(node, service, RETRY_BUDGET_TOKENS_MAX));
	pthread_mutex_unlock(&node->router_lock);
	return allowed;
}

#include "egretscaled/node/accounts.h"

accounts_t *accounts_create(void)
{
	accounts_t *accounts = g_new0(accounts_t, 1);

	accounts->keeper = keeper_create();
	accounts->zones = g_array_new(FALSE, TRUE, sizeof(zone_keepers_t));
	return accounts;
}

void accounts_destroy(accounts_t *accounts)
{
	if (!accounts)
		return;
	keeper_destroy(accounts->keeper);
	g_array_free(accounts->zones, TRUE);
	g_free(accounts);
}

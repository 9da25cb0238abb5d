#include "egretscaled/rates/rates.h"

#include "egretscaled/rates/accounts_io.h"
#include "egretscaled/rates/shares_io.h"

admit_result_t rates_admit(worker_t *worker, const char *account, admit_fn fn, void *ctx)
{
	if (worker->node->shares)
		return shares_io_admit(worker, account, fn, ctx);
	return accounts_io_admit(worker, account, fn, ctx);
}

void rates_forget(worker_t *worker, const char *account, void *ctx)
{
	if (worker->node->shares)
		shares_io_forget(worker, ctx);
	else
		accounts_io_forget(worker, account, ctx);
}

double rates_pressure(worker_t *worker, const char *account)
{
	if (worker->node->shares)
		return shares_io_pressure(worker, account);
	return accounts_io_pressure(worker, account);
}

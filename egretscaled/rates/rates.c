#include "egretscaled/rates/rates.h"

#include "egretscaled/rates/loans_io.h"
#include "egretscaled/rates/token_wait.h"

admit_result_t rates_admit(worker_t *worker, const char *account, admit_fn fn, void *ctx)
{
	if (worker->node->zone_rates)
		return token_wait_admit(worker, account, fn, ctx);
	return loans_io_admit(worker, account, fn, ctx);
}

void rates_cancel(worker_t *worker, const char *account, void *ctx)
{
	if (worker->node->zone_rates)
		token_wait_cancel(worker, ctx);
	else
		loans_io_cancel(worker, account, ctx);
}

double rates_pressure(worker_t *worker, const char *account)
{
	if (worker->node->zone_rates)
		return token_wait_pressure(worker, account);
	return loans_io_pressure(worker, account);
}

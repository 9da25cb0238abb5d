#include "common/counters.h"

#include <inttypes.h>
#include <stdatomic.h>

static _Atomic uint64_t values[COUNTER_COUNT];

static const struct {
	const char *name;
	const char *help;
} descriptions[] = {
#define COUNTER_ROW(id, name, help) {name, help},
	COUNTER_LIST(COUNTER_ROW)
#undef COUNTER_ROW
};

void counter_add(counter_id_t id, uint64_t n)
{
	atomic_fetch_add_explicit(&values[id], n, memory_order_relaxed);
}

uint64_t counter_get(counter_id_t id)
{
	return atomic_load_explicit(&values[id], memory_order_relaxed);
}

void counters_render(GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		g_string_append_printf(out,
				       "# HELP egret_%s_total %s\n"
				       "# TYPE egret_%s_total counter\n"
				       "egret_%s_total %" PRIu64 "\n",
				       descriptions[i].name, descriptions[i].help,
				       descriptions[i].name, descriptions[i].name,
				       counter_get((counter_id_t)i));
	}
}

#include "http/pipeline.h"

#include <glib.h>

struct pipeline {
	TAILQ_HEAD(pipeline_entries, pipeline_entry) entries;
	pipeline_limits_t limits;
	pipeline_budget_t *budget;
	uint32_t count;
	size_t bytes_ahead; /* of bodies behind the first request */
};

pipeline_t *pipeline_create(const pipeline_limits_t *limits, pipeline_budget_t *budget)
{
	pipeline_t *pipeline = g_new0(pipeline_t, 1);

	TAILQ_INIT(&pipeline->entries);
	pipeline->limits = *limits;
	pipeline->budget = budget;
	return pipeline;
}

void pipeline_destroy(pipeline_t *pipeline)
{
	if (!pipeline)
		return;
	while (pipeline->count > 0)
		pipeline_remove_first(pipeline);
	g_free(pipeline);
}

void pipeline_add(pipeline_t *pipeline, pipeline_entry_t *entry)
{
	TAILQ_INSERT_TAIL(&pipeline->entries, entry, link);
	if (pipeline->count++ > 0)
		pipeline->budget->ahead++;
}

void pipeline_add_body(pipeline_t *pipeline, size_t bytes)
{
	pipeline_newest(pipeline)->body_bytes += bytes;
	if (pipeline->count > 1)
		pipeline->bytes_ahead += bytes;
}

void pipeline_remove_first(pipeline_t *pipeline)
{
	TAILQ_REMOVE(&pipeline->entries, pipeline_first(pipeline), link);
	if (--pipeline->count == 0)
		return;
	pipeline->budget->ahead--;
	pipeline->bytes_ahead -= pipeline_first(pipeline)->body_bytes;
}

pipeline_entry_t *pipeline_first(const pipeline_t *pipeline)
{
	return TAILQ_FIRST(&pipeline->entries);
}

pipeline_entry_t *pipeline_newest(const pipeline_t *pipeline)
{
	return TAILQ_LAST(&pipeline->entries, pipeline_entries);
}

static bool reads_ahead(const pipeline_t *pipeline)
{
	return pipeline->count < pipeline->limits.requests_max &&
	       pipeline->budget->ahead < pipeline->budget->ahead_max;
}

bool pipeline_reads(const pipeline_t *pipeline)
{
	const pipeline_entry_t *newest = pipeline_newest(pipeline);

	if (!newest)
		return true;
	if (pipeline_first(pipeline)->ends_connection &&
	    newest != pipeline_first(pipeline))
		return false;
	if (pipeline->count > 1 && pipeline->bytes_ahead >= pipeline->limits.bytes_max)
		return false;
	if (!newest->complete)
		return true;
	return !newest->ends_connection && reads_ahead(pipeline);
}

static bool may_start(const pipeline_t *pipeline, const pipeline_entry_t *entry,
		      bool closing)
{
	return entry == pipeline_first(pipeline) || (entry->repeatable && !closing);
}

pipeline_entry_t *pipeline_next_start(const pipeline_t *pipeline, bool closing)
{
	pipeline_entry_t *entry;

	TAILQ_FOREACH(entry, &pipeline->entries, link)
	{
		if (entry->startable && !entry->started && !entry->responded &&
		    may_start(pipeline, entry, closing))
			return entry;
		if (entry->ends_connection)
			break;
	}
	return NULL;
}

bool pipeline_closes(const pipeline_t *pipeline, bool closing)
{
	const pipeline_entry_t *first = pipeline_first(pipeline);

	if (first->ends_connection)
		return true;
	if (!closing)
		return false;
	for (const pipeline_entry_t *entry = TAILQ_NEXT(first, link); entry;
	     entry = TAILQ_NEXT(entry, link)) {
		if (entry->started)
			return false;
	}
	return true;
}

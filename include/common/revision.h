#ifndef EGRET_COMMON_REVISION_H
#define EGRET_COMMON_REVISION_H

#include <stdint.h>

/*
 * NAME
 *	revision - era and version of the platform's store in one number
 *
 * DESCRIPTION
 *	A store that is restored from a copy assigns versions again, and raises its
 *	era by one. A revision holds the era in its high bits and the version in its
 *	low ones, so that revisions compared as numbers compare the era first. In
 *	era 0, that of a store without eras, a revision is the version itself.
 *
 *	The highest bit is never set: JSON, the log and the store hold signed
 *	numbers. Eras above REVISION_ERA_MAX and, in other eras than 0, versions
 *	above REVISION_VERSION_MAX cannot be represented; callers refuse them.
 */

#define REVISION_VERSION_BITS 48
#define REVISION_VERSION_MAX ((UINT64_C(1) << REVISION_VERSION_BITS) - 1)
#define REVISION_ERA_MAX UINT64_C(0x7fff)

static inline uint64_t revision_compose(uint64_t era, uint64_t version)
{
	return (era << REVISION_VERSION_BITS) | version;
}

static inline uint64_t revision_era(uint64_t revision)
{
	return revision >> REVISION_VERSION_BITS;
}

static inline uint64_t revision_version(uint64_t revision)
{
	return revision & REVISION_VERSION_MAX;
}

#endif

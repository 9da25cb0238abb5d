#ifndef EGRET_TESTS_UNIT_CASE_H
#define EGRET_TESTS_UNIT_CASE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Runs `fn` as one cmocka test for each row of the table `cases`; *state is the row. */
#define RUN_CASES(name, cases, fn)                                                       \
	run_cases(name, (const char *)(cases), sizeof(cases) / sizeof((cases)[0]),       \
		  sizeof((cases)[0]), fn)

/* Each row has to start with its test name, a const char *. The table may have at most
 * 256 rows. Returns the number of failed tests. */
static inline int run_cases(const char *group, const char *cases, size_t count,
			    size_t size, CMUnitTestFunction fn)
{
	struct CMUnitTest tests[256];

	for (size_t i = 0; i < count && i < 256; i++) {
		const char *row = cases + i * size;
		tests[i] = (struct CMUnitTest){
			.name = *(const char *const *)row,
			.test_func = fn,
			.initial_state = (void *)row,
		};
	}
	return _cmocka_run_group_tests(group, tests, count, NULL, NULL);
}

#endif

# cactusfield: a workspace of packages and two binaries.
#
#   make          build both binaries
#   make demo     run the main job end to end
#   make check    run every test
#   make bench    run the benchmarks; results are JSON lines
#   make format   rewrite the sources with clang-format
#
# SAN=asan or SAN=tsan builds with that sanitizer into a separate directory.

SAN ?= plain
OUT = build/$(SAN)

# Packages in order of their layers: a package uses only those before it.
PACKAGES = $(shell cat packages/ORDER)
# Decision packages, without clocks, threads, sockets, HTTP or RPC (checked by
# scripts/linkcheck).
PURE = $(shell cat packages/PURE)

# The thread sanitizer of GCC 12 reserves a fixed region for the traces of all
# threads, which on arm64 is too small for the threads of CivetWeb; that of
# clang allocates traces as needed.
CC_plain = gcc
CC_asan = gcc
CC_tsan = clang-14
CXX_plain = g++
CXX_asan = g++
CXX_tsan = clang++-14
CC = $(CC_$(SAN))
CXX = $(CXX_$(SAN))
# Libraries by their pkg-config names: those of the entry for the users'
# platform (deploy/system.toml lists their packages), and those of all programs.
NODE_PC = glib-2.0 jansson yajl talloc gsl argtable2 libevent
PC = $(NODE_PC) libtirpc libxxhash
# $(call pc,FLAG,NAMES): what pkg-config prints; stops if a name is missing, as
# pkg-config prints nothing at all then.
pc_missing = $(strip $(foreach name,$(1),$(if $(shell pkg-config --exists $(name) && echo yes),,$(name))))
pc = $(if $(call pc_missing,$(2)),$(error pkg-config does not find $(call pc_missing,$(2)): install its package, see deploy/system.toml and scripts/packages.txt))$(shell pkg-config $(1) $(2))
# Evaluated once, when the first recipe uses them.
PC_CFLAGS = $(eval PC_CFLAGS := $$(call pc,--cflags,$(PC)))$(PC_CFLAGS)
PC_LIBS = $(eval PC_LIBS := $$(call pc,--libs,$(PC)))$(PC_LIBS)
NODE_CFLAGS = $(eval NODE_CFLAGS := $$(call pc,--cflags,$(NODE_PC)))$(NODE_CFLAGS)
NODE_LIBS = $(eval NODE_LIBS := $$(call pc,--libs,$(NODE_PC)))$(NODE_LIBS)
LIB_CFLAGS = $(PC_CFLAGS)
CPPFLAGS = -D_GNU_SOURCE $(PACKAGES:%=-Ipackages/%) -Iplatform $(LIB_CFLAGS)
# A build by users, with a compiler of their own, does not stop at a warning.
WERROR = -Werror
WARN = -Wall -Wextra $(WERROR)
SANFLAGS_plain =
SANFLAGS_asan = -fsanitize=address,undefined -fno-sanitize-recover=undefined
SANFLAGS_tsan = -fsanitize=thread
SANFLAGS = $(SANFLAGS_$(SAN)) -fno-omit-frame-pointer
CFLAGS = -std=gnu11 -O2 -g $(WARN) $(SANFLAGS)
CXXFLAGS = -std=gnu++17 -O1 -g $(WARN) $(SANFLAGS)
LDFLAGS = $(SANFLAGS) -pthread
LDLIBS = $(PC_LIBS) -lcivetweb -lck -lm

LIBS = $(PACKAGES:%=$(OUT)/lib%.a)
GROUP = -Wl,--start-group $(LIBS) -Wl,--end-group

SRCS = $(filter-out %_main.c,$(wildcard packages/*/*.c))
# Output of rpcgen: committed, and neither formatted nor linted.
GENERATED = $(wildcard packages/*/*_xdr.c packages/*/*_xdr.h)
OBJS = $(SRCS:%.c=$(OUT)/%.o)
BINS = $(OUT)/cactusfieldd $(OUT)/cactusfield
TEST_C = $(wildcard packages/*/tests/*_test.c)
TEST_CXX = $(wildcard packages/*/tests/*_prop.cpp)
TEST_PLATFORM = $(wildcard platform/tests/*_test.c)
TESTS = $(TEST_C:packages/%.c=$(OUT)/t/%) $(TEST_CXX:packages/%.cpp=$(OUT)/t/%) $(TEST_PLATFORM:%.c=$(OUT)/t/%)
# System tests, which run real processes.
SYSTEM ?= $(wildcard tests/sys_*)
# Packages that use no threads (linkcheck checks this for the pure ones) are not
# tested with the thread sanitizer, only plain and with the address sanitizer.
UNTHREADED = $(PURE) net node
UNTHREADED_TESTS = $(foreach p,$(UNTHREADED),$(filter $(OUT)/t/$(p)/%,$(TESTS))) $(filter $(OUT)/t/platform/%,$(TESTS))
# tests/sys_build makes the plain program itself, whatever SAN is.
RUN_TESTS_plain = $(SYSTEM) $(TESTS)
RUN_TESTS_asan = $(filter-out tests/sys_build,$(SYSTEM)) $(TESTS)
RUN_TESTS_tsan = $(filter-out tests/sys_node% tests/sys_build,$(SYSTEM)) $(filter-out $(UNTHREADED_TESTS),$(TESTS))
# Tests run at once.  A sanitized process needs several times the memory and
# processor time of a plain one, and test results must not depend on the load.
# A system test has up to 4,400 threads, and the system has 32,768 process ids.
TEST_JOBS_plain = 6
TEST_JOBS_asan = 5
TEST_JOBS_tsan = 3
BENCH_C = $(wildcard bench/*_bench.c)
# Code shared by the benchmarks and by the tests that check their results.
BENCH_LIB = $(OUT)/libbench.a
BENCH_OBJS = $(patsubst %.c,$(OUT)/%.o,$(filter-out $(BENCH_C),$(wildcard bench/*.c)))
BENCHES = $(BENCH_C:%.c=$(OUT)/%)
STANDIN = $(if $(wildcard standin/*.c),$(OUT)/standin/standin)
LOADGEN = $(OUT)/load/load

.PHONY: all deps binaries check test regress demo bench format formatcheck \
	tidy linkcheck mancheck models soak clean
.SECONDARY:

all: deps
	+@$(MAKE) --no-print-directory -s -j$$(nproc) binaries

deps:
	@scripts/deps

binaries: $(LIBS) $(wildcard $(OUT)/none) $(foreach b,$(BINS),$(if $(wildcard packages/*/$(notdir $(b))_main.c),$(b))) $(STANDIN) $(LOADGEN) $(OUT)/cactusfield-node $(OUT)/standin/standin-platform $(OUT)/soak/soak

define library
$(OUT)/lib$(1).a: $(filter $(OUT)/packages/$(1)/%,$(OBJS))
	@mkdir -p $$(@D)
	@rm -f $$@
	ar rcs $$@ $$^
endef
$(foreach p,$(PACKAGES),$(eval $(call library,$(p))))

# Objects of another kind of machine, in a folder that was carried over, are
# built anew.
$(shell mkdir -p $(OUT); machine=$$($(CC) -dumpmachine); \
	echo "$$machine" | cmp -s - $(OUT)/machine || echo "$$machine" >$(OUT)/machine)

$(OUT)/%_xdr.o: %_xdr.c $(OUT)/machine
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -Wno-unused-variable -Wno-cast-function-type -MMD -MP -c -o $@ $<

$(OUT)/%.o: %.c $(OUT)/machine
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/%.o: %.cpp $(OUT)/machine
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/cactusfieldd: $(OUT)/packages/entry/cactusfieldd_main.o $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $< $(GROUP) $(LDLIBS)

$(OUT)/cactusfield: $(OUT)/packages/tool/cactusfield_main.o $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $< $(GROUP) $(LDLIBS)

# The entry for the users' platform links only the adapter and what it needs.
NODE_PACKAGES = base batch net node
NODE_OBJS = $(patsubst %.c,$(OUT)/%.o,$(wildcard platform/*.c $(NODE_PACKAGES:%=packages/%/*.c)))
$(NODE_OBJS): LIB_CFLAGS = $(NODE_CFLAGS)
$(OUT)/libplatform.a: $(patsubst %.c,$(OUT)/%.o,$(filter-out %_main.c,$(wildcard platform/*.c)))
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

$(OUT)/cactusfield-node: $(OUT)/platform/cactusfield-node_main.o $(OUT)/libplatform.a $(NODE_PACKAGES:%=$(OUT)/lib%.a)
	$(CC) $(LDFLAGS) -o $@ $< -Wl,--start-group $(filter %.a,$^) -Wl,--end-group $(NODE_LIBS) -lm

$(BENCH_LIB): $(BENCH_OBJS)
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

# Code shared by the tests of the batch package.
WORLD_OBJS = $(patsubst %.c,$(OUT)/%.o,$(wildcard packages/batch/tests/batch_world*.c))
WORLD_TESTS = $(filter $(OUT)/t/batch/tests/%_test,$(TESTS))
$(WORLD_TESTS): $(OUT)/t/batch/tests/%_test: $(OUT)/packages/batch/tests/%_test.o $(WORLD_OBJS) $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(WORLD_OBJS) $(GROUP) $(LDLIBS)

$(OUT)/t/platform/tests/%_test: $(OUT)/platform/tests/%_test.o $(OUT)/libplatform.a $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(OUT)/libplatform.a $(GROUP) $(LDLIBS)

$(OUT)/t/%_test: $(OUT)/packages/%_test.o $(BENCH_LIB) $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(BENCH_LIB) $(GROUP) $(LDLIBS)

$(OUT)/t/%_prop: $(OUT)/packages/%_prop.o $(LIBS)
	@mkdir -p $(@D)
	$(CXX) $(LDFLAGS) -o $@ $< $(GROUP) -lrapidcheck $(LDLIBS)

$(OUT)/bench/%_bench: $(OUT)/bench/%_bench.o $(BENCH_LIB) $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(BENCH_LIB) $(GROUP) $(LDLIBS)

# Drives the platform's adapter.
$(OUT)/bench/start_bench: $(OUT)/bench/start_bench.o $(OUT)/libplatform.a $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(OUT)/libplatform.a $(GROUP) $(LDLIBS)

$(OUT)/bench/relay: $(OUT)/bench/relay_main.o $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $< $(GROUP) $(LDLIBS)

$(OUT)/load/load: $(patsubst %.c,$(OUT)/%.o,$(wildcard load/*.c)) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(GROUP) $(LDLIBS)

$(OUT)/soak/soak: $(patsubst %.c,$(OUT)/%.o,$(wildcard soak/*.c)) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(GROUP) $(LDLIBS)

$(OUT)/standin/standin-platform: $(patsubst %.c,$(OUT)/%.o,$(wildcard standin/platform/*.c)) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(GROUP) $(LDLIBS)

$(OUT)/standin/standin: $(patsubst %.c,$(OUT)/%.o,$(wildcard standin/*.c)) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(GROUP) $(LDLIBS)

check: all
	+@$(MAKE) --no-print-directory -s test

test: binaries
	+@$(MAKE) --no-print-directory -s -j$$(nproc) $(filter $(OUT)/%,$(RUN_TESTS_$(SAN)))
	@OUT=$(OUT) scripts/runtests $(TEST_JOBS_$(SAN)) $(OUT)/log $(RUN_TESTS_$(SAN)) $(wildcard regress/run)

demo: all
	@OUT=$(OUT) tests/demo
	@OUT=$(OUT) tests/demo_node

bench: all
	+@$(MAKE) --no-print-directory -s -j$$(nproc) $(BENCHES) $(OUT)/bench/relay
	@OUT=$(OUT) bench/run

soak: all
	@OUT=$(OUT) RC_PARAMS="seed=$$(date +%s) max_success=2000" scripts/runtests 6 $(OUT)/log $(filter %_prop,$(TESTS))
	@OUT=$(OUT) soak/run

FORMATTED = $(filter-out $(GENERATED),$(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cpp'))

format:
	clang-format -i $(FORMATTED)

formatcheck:
	clang-format --dry-run --Werror $(FORMATTED)

tidy:
	@printf '%s\n' $(filter-out $(GENERATED),$(filter %.c,$(FORMATTED))) | \
	xargs -P $$(nproc) -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null || exit 255' sh

linkcheck: $(PURE:%=$(OUT)/lib%.a) $(OUT)/libentry.a
	@scripts/linkcheck $^

mancheck:
	@scripts/mancheck

models:
	@scripts/models $(OUT)/models

clean:
	rm -rf build

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)

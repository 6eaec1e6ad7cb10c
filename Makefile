# Builds the library, the programs and the tests.
#
#   make            programs in build/release
#   make test       unit and integration tests (installs packages if missing)
#   make soak SEEDS=200  test of random faults under load, one run per seed;
#                        SOAK=sys_platform_soak uses the line protocol instead
#   make demo       small deployment on loopback with a failover under load
#   make bench      benchmarks; WHAT="reads gap crest behind speed" or slopes
#                   selects some of them
#   make SAN=1 ...  any target with address and undefined-behaviour sanitizers
#   make lint       checks the formatting and runs the linter
#   make format     formats the sources

ifdef SAN
MODE = san
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	   -fno-omit-frame-pointer
else
MODE = release
endif
OUT = build
B = $(OUT)/$(MODE)

CC = gcc
CXX = g++
WARN = -Wall -Wextra -Werror -Wshadow -Wpointer-arith -Wvla
PGINC := $(shell pg_config --includedir 2>/dev/null)
COMMON = -g $(WARN) $(SANFLAGS) -iquote . -iquote t -I$(PGINC) -MMD -MP \
	 -D_GNU_SOURCE
CFLAGS = -std=gnu11 -O2 $(COMMON) -Wstrict-prototypes -Wmissing-prototypes
# Tests are compiled without optimization: their compile time matters more than
# their speed.
CXXFLAGS = -std=gnu++17 -O0 $(COMMON) -Wno-missing-field-initializers
LDLIBS = -lev -lhttp_parser -lmsgpackc -largtable2 -ljson-c -lpq -lpg_query \
	 -lprotobuf-c -lxxhash -lz -lsodium -lgsl -lgslcblas -lm

LIB = $(B)/libmarjoramlatch.a
DAEMONS = marjoramlatchd marjoramlatch-control
PROGRAMS = $(addprefix $(B)/,$(DAEMONS) marjoramlatch)
HELPERS = $(patsubst t/helper/%.c,$(B)/helper/%,$(wildcard t/helper/*.c)) \
	  $(B)/helper/backend $(B)/helper/platform

MAINS = $(addsuffix .c,$(DAEMONS)) marjoramlatch.c
LIBSRC = $(filter-out $(MAINS),$(wildcard *.c)) $(wildcard platform/*.c)
BUILTIN = $(wildcard builtin/*.c)
UNIT = $(wildcard t/unit_*.cc) t/lib_history.cc
SYSTEM = $(patsubst t/%.cc,$(B)/t/%,$(wildcard t/sys_*.cc))
TESTLIB = $(wildcard t/lib_*.cc)

obj = $(patsubst %,$(B)/obj/%.o,$(basename $(1)))

all: programs

programs: $(PROGRAMS)

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c -o $@ $<

$(B)/obj/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -c -o $@ $<

$(LIB): $(call obj,$(LIBSRC))
	@rm -f $@
	ar rcs $@ $^

$(addprefix $(B)/,$(DAEMONS)): $(B)/%: $(B)/obj/%.o $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(B)/marjoramlatch: $(call obj,marjoramlatch.c $(BUILTIN)) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(B)/helper/%: $(B)/obj/t/helper/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ -lsqlite3 $(LDLIBS)

$(B)/helper/backend: $(call obj,$(wildcard t/helper/backend/*.c)) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ -lsqlite3 $(LDLIBS)

$(B)/unit-tests: $(call obj,$(UNIT)) $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ -lgtest -lgtest_main $(LDLIBS)

$(B)/t/%: $(B)/obj/t/%.o $(call obj,$(TESTLIB)) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(SANFLAGS) -o $@ $^ -lgtest -lgtest_main -lsqlite3 $(LDLIBS)

$(B)/helper/platform: $(call obj,$(wildcard t/helper/platform/*.c)) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

helpers: $(HELPERS)
tests: all helpers $(B)/unit-tests $(SYSTEM)

test: packages
	$(MAKE) SAN=$(SAN) -j$(shell nproc) tests
	t/run.sh $(B)

SEEDS = 200
SOAK = sys_soak

soak: packages
	$(MAKE) SAN=$(SAN) -j$(shell nproc) all helpers $(B)/t/$(SOAK)
	t/soak.sh $(B) $(SEEDS) 1 $(SOAK)

demo: packages
	$(MAKE) SAN=$(SAN) -j$(shell nproc) all helpers
	t/demo.sh $(B)

bench: packages
	$(MAKE) SAN=$(SAN) -j$(shell nproc) all helpers
	t/bench.sh $(B) $(WHAT)

packages:
	@sh .ci/packages

format:
	clang-format -i $(CSRC)

CSRC = $(wildcard *.c *.h platform/*.c platform/*.h builtin/*.c builtin/*.h t/*.cc t/*.h t/helper/*.c \
	 t/helper/*.h t/helper/backend/*.c t/helper/backend/*.h \
	 t/helper/platform/*.c t/helper/platform/*.h)

lint:
	clang-format --dry-run -Werror $(CSRC)
	cppcheck -q -j$(shell nproc) --std=c11 --language=c \
		--enable=warning,performance,portability \
		--inline-suppr --error-exitcode=1 -I. -D_GNU_SOURCE \
		$(filter %.c,$(CSRC))

clean:
	rm -rf build target

-include $(shell find build target -name '*.d' 2>/dev/null)

.PHONY: all programs helpers tests test soak demo bench packages format lint clean
.SECONDARY:

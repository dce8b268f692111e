MAKEFLAGS += --no-builtin-rules
.SILENT:
# "make" builds, "make test" runs all tests, "make demo" runs the demonstrations,
# "make SAN=1" builds with sanitizers into build-san.

PKGS = glib-2.0 libuv libzmq msgpack libcyaml libsodium jansson libcurl libxxhash openssl
CC = gcc
CXX = g++
BUILD = build
WARN = -Wall -Wextra -Werror
CFLAGS = -std=gnu11 -D_GNU_SOURCE -O2 -g -I. $(WARN) $(shell pkg-config --cflags $(PKGS))
CXXFLAGS = -std=gnu++17 -D_GNU_SOURCE -O1 -g -I. $(WARN) $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lh2o -lpthread -lm

ifdef SAN
BUILD = build-san
CFLAGS += -O1 -fsanitize=address,undefined -fno-omit-frame-pointer
CXXFLAGS += -fsanitize=address,undefined -fno-omit-frame-pointer
LDFLAGS += -fsanitize=address,undefined
endif

SOURCES = $(wildcard base/*.c core/*.c node/*.c bench/*.c platform/*.c cli/*.c)
OBJECTS = $(SOURCES:%.c=$(BUILD)/%.o)
LIBRARY_OBJECTS = $(filter-out $(BUILD)/cli/main.o,$(OBJECTS))
TEST_SOURCES = $(wildcard tests/*.cc)
TEST_OBJECTS = $(TEST_SOURCES:%.cc=$(BUILD)/%.o)
FORMATTED_FILES = $(wildcard base/*.[ch] core/*.[ch] node/*.[ch] bench/*.[ch] platform/*.[ch] cli/*.[ch] tests/*.c filbertpath.h)

all: $(BUILD)/filbertpath $(BUILD)/badtarget $(BUILD)/faultdisk.so

$(BUILD)/filbertpath: $(OBJECTS)
	@echo "  LINK $@"; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/badtarget: $(BUILD)/tests/badtarget.o
	@echo "  LINK $@"; $(CC) $(LDFLAGS) -o $@ $^ -luv

$(BUILD)/faultdisk.so: tests/faultdisk.c
	@mkdir -p $(dir $@)
	@echo "  LINK $@"; $(CC) -std=gnu11 -D_GNU_SOURCE -O2 $(WARN) -shared -fPIC -o $@ $< -ldl

$(BUILD)/unit: $(TEST_OBJECTS) $(LIBRARY_OBJECTS)
	@echo "  LINK $@"; $(CXX) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lgtest -lgtest_main

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "  CC $<"; $(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(dir $@)
	@echo "  CXX $<"; $(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

-include $(OBJECTS:.o=.d) $(TEST_OBJECTS:.o=.d)

demo: all
	tests/demo.sh
	tests/fleet-demo.sh

test: all $(BUILD)/unit
	tests/run.sh

format:
	clang-format -i $(FORMATTED_FILES)

check-format:
	clang-format --dry-run --Werror $(FORMATTED_FILES)

# One clang-tidy process for each file: with several files in one, the analyzer
# gives false reports on variadic functions.
TIDY_STAMPS = $(SOURCES:%.c=$(BUILD)/%.tidy)
tidy: $(TIDY_STAMPS)
$(BUILD)/%.tidy: %.c
	@mkdir -p $(dir $@)
	clang-tidy --quiet $< -- $(CFLAGS) 2>/dev/null && touch $@

clean:
	rm -rf build build-san

.PHONY: all demo test format check-format tidy clean

# The stand-ins, the load tool, the benches and the tests: not shipped, and not
# built where the users' platform builds us.
find_package (GTest REQUIRED)

mq_program (mqbench_relay tools/bench/relay mq_net)
mq_program (mqbench_fleet tools/bench/fleet mq_net)
mq_program (mqbench_config tools/bench/config mq_net)
mq_program (mqbench_route tools/bench/route mq_route)

# The stand-ins' model is a library of its own, for the tests and mqload; what
# else mqstand and mqload have but for main.c is one, too, so that tests reach
# their parts.
file (GLOB standin_sources CONFIGURE_DEPENDS tools/standin/*.c)
list (FILTER standin_sources EXCLUDE REGEX "/(main|reference)\\.c$")
add_library (mq_reference STATIC tools/standin/reference.c)
target_link_libraries (mq_reference PUBLIC mq_base)
add_library (mq_standin STATIC ${standin_sources})
target_link_libraries (mq_standin PUBLIC mq_reference mq_net)
add_executable (mqstand tools/standin/main.c)
target_link_libraries (mqstand PRIVATE mq_standin)
file (GLOB load_sources CONFIGURE_DEPENDS tools/mqload/*.c)
list (FILTER load_sources EXCLUDE REGEX "/main\\.c$")
add_library (mq_load STATIC ${load_sources})
target_link_libraries (mq_load PUBLIC mq_reference mq_standin mq_net)
add_executable (mqload tools/mqload/main.c)
target_link_libraries (mqload PRIVATE mq_load)

# The policy bench: fake engines in virtual time, shared with its tests.
file (GLOB bench_sources CONFIGURE_DEPENDS tools/bench/*.c)
list (FILTER bench_sources EXCLUDE REGEX "_bench\\.c$")
add_library (mq_bench STATIC ${bench_sources})
target_include_directories (mq_bench PUBLIC tools)
target_link_libraries (mq_bench PUBLIC mq_decide)
foreach (bench policy planner)
  add_executable (mqbench_${bench} tools/bench/${bench}_bench.c)
  target_link_libraries (mqbench_${bench} PRIVATE mq_bench)
endforeach ()
add_executable (mqbench_state tools/bench/state_bench.c)
target_link_libraries (mqbench_state PRIVATE mq_decide)

enable_testing ()
add_subdirectory (tests)

# cicada_library(NAME [DEPENDS lib...] [LINKS target...] [SERIAL_TESTS])
#
# A library of src/*.cpp with its one public header in include/NAME/. Its
# tests, if any, are tests/*.cpp in one GoogleTest program; its benchmarks
# are benchmarks/*.cpp in one Google Benchmark program. With SERIAL_TESTS,
# ctest runs no other test beside one of these.
function(cicada_library name)
  cmake_parse_arguments(ARG "SERIAL_TESTS" "" "DEPENDS;LINKS;TEST_LINKS"
    ${ARGN})
  set_property(GLOBAL APPEND PROPERTY cicada_depends ${ARG_DEPENDS})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_LINKS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE include)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS} ${ARG_LINKS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(tests AND NOT CICADA_DAEMON_ONLY)
    add_executable(${name}_tests ${tests})
    target_include_directories(${name}_tests PRIVATE src tests)
    target_link_libraries(${name}_tests PRIVATE ${name} ${ARG_TEST_LINKS}
      GTest::gtest GTest::gtest_main Threads::Threads)
    gtest_discover_tests(${name}_tests DISCOVERY_TIMEOUT 60 NO_PRETTY_VALUES
      TEST_PREFIX ${name}.
      PROPERTIES TIMEOUT 120 RUN_SERIAL ${ARG_SERIAL_TESTS})
  endif()
  file(GLOB benchmarks CONFIGURE_DEPENDS benchmarks/*.cpp)
  if(benchmarks AND NOT CICADA_DAEMON_ONLY)
    add_executable(${name}_benchmarks ${benchmarks})
    target_include_directories(${name}_benchmarks PRIVATE src)
    target_link_libraries(${name}_benchmarks PRIVATE ${name}
      benchmark::benchmark benchmark::benchmark_main Threads::Threads)
  endif()
endfunction()

# cicada_check_depends()
#
# Fails if a library that another one depends on isn't part of the build; the
# linker would take its name for a system library.
function(cicada_check_depends)
  get_property(depends GLOBAL PROPERTY cicada_depends)
  foreach(library ${depends})
    if(NOT TARGET ${library})
      message(FATAL_ERROR "the build lacks the library ${library}")
    endif()
  endforeach()
endfunction()

# cicada_tool(NAME [DEPENDS lib...] [LINKS target...])
#
# A program of every *.cpp in its folder.
function(cicada_tool name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} ${ARG_LINKS}
    Threads::Threads)
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

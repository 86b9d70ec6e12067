# Compiler settings shared by every target.
option(WARNINGS_AS_ERRORS "Fail on warnings; CI sets it" OFF)
option(BUILD_CHECKS "Build the tests and the benchmarks" ON)
add_compile_options(-Wall -Wextra -Wpedantic
  -Wno-missing-field-initializers) # designated initializers omit fields
if(WARNINGS_AS_ERRORS)
  add_compile_options(-Werror)
  # g++ 12 gives false positives of these at -O3 in inlined std::string code
  # (GCC bugs 105651, 105562), so they remain warnings.
  add_compile_options(-Wno-error=restrict -Wno-error=maybe-uninitialized)
endif()
set(SANITIZE "" CACHE STRING "Sanitizers to build with: thread, or address,undefined")
if(SANITIZE)
  add_compile_options(-fsanitize=${SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SANITIZE})
endif()

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()
find_package(Threads REQUIRED)

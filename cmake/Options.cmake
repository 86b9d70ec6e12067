# Compiler settings shared by every target.
option(WARNINGS_AS_ERRORS "Fail on warnings; CI sets it" OFF)
option(BUILD_CHECKS "Build the tests and the experiments" ON)
add_compile_options(-Wall -Wextra -Wpedantic
  -Wno-missing-field-initializers) # designated initializers leave fields out
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  # False at -O3: GCC bug 105651, on a text literal + std::string.
  add_compile_options(-Wno-restrict)
endif()
if(WARNINGS_AS_ERRORS)
  add_compile_options(-Werror)
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

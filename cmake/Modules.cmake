# Defines one static library per module, in the layer order of modules.txt.
file(STRINGS ${CMAKE_SOURCE_DIR}/cmake/modules.txt MODULE_LINES REGEX "^[^#]")
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
             ${CMAKE_SOURCE_DIR}/cmake/modules.txt)
add_library(lagoonpoint_headers INTERFACE)
target_include_directories(lagoonpoint_headers INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_definitions(lagoonpoint_headers INTERFACE
  SPDLOG_COMPILED_LIB SPDLOG_FMT_EXTERNAL MSGPACK_NO_BOOST=1
  LAGOONPOINT_VERSION="${PROJECT_VERSION}")
target_link_libraries(lagoonpoint_headers INTERFACE spdlog fmt Threads::Threads)

set(MODULES_BELOW lagoonpoint_headers)
foreach(LINE ${MODULE_LINES})
  separate_arguments(WORDS UNIX_COMMAND "${LINE}")
  list(POP_FRONT WORDS MODULE)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/lagoonpoint/src/${MODULE}/*.cpp)
  if(SOURCES)
    add_library(lagoonpoint_${MODULE} STATIC ${SOURCES})
    target_link_libraries(lagoonpoint_${MODULE} PUBLIC ${MODULES_BELOW} ${WORDS})
    list(PREPEND MODULES_BELOW lagoonpoint_${MODULE})
  else()
    list(APPEND MODULES_BELOW ${WORDS})
  endif()
endforeach()
add_library(lagoonpoint_all INTERFACE)
target_link_libraries(lagoonpoint_all INTERFACE ${MODULES_BELOW})

/* The objects in the store that hold a generation of one file.  */

#ifndef MQ_TESTS_CONFIG_BUNDLE_H
#define MQ_TESTS_CONFIG_BUNDLE_H

#include <map>
#include <string>

#include <mq/files.h>
#include <mq/manifest.h>

/* Maps object names to contents: the manifest and its file.  */
struct Bundle
{
  Bundle (uint64_t generation, const std::string &content)
  {
    mq_manifest m;
    mq_str *name = mq_str_new (MQ_SPAN ("a.json"));
    mq_digest d;

    mq_file_digest ({ content.data (), content.size () }, d.hex);
    mq_manifest_init (&m);
    m.generation = generation;
    mq_manifest_put (&m, name, d, content.size ());
    mq_str *encoded = mq_manifest_encode (&m);
    objects[MQ_MANIFEST_OBJECT] = std::string (encoded->data, encoded->size);
    objects[std::string (MQ_MANIFEST_FILE_PREFIX) + d.hex] = content;
    mq_str_unref (encoded);
    mq_str_unref (name);
    mq_manifest_finish (&m);
  }

  std::map<std::string, std::string> objects;
};

#endif

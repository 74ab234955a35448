#pragma once
// Encoding and decoding of the messages exchanged with users, workers, the cloud and the state
// service, with one header for each of them. The field names of the protocol are used in src/wire/
// only; they are defined, with a glossary, in field_names.h.

#include "wire/cloud_messages.h"
#include "wire/message_pack.h"
#include "wire/paths.h"
#include "wire/state_messages.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"

#pragma once
// The protocol with users, workers, the cloud and the state service: encoding and decoding of all
// its messages, by whom they are exchanged with. Only src/wire/ knows the protocol's field names
// (field_names.h has them all, and a glossary); its callers see the field's terms.

#include "wire/cloud_messages.h"
#include "wire/message_pack.h"
#include "wire/paths.h"
#include "wire/state_messages.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"

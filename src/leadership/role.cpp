#include "leadership/role.h"

namespace rookdyke {

std::string_view to_string(Role role) {
  switch (role) {
    case Role::follower:
      return "follower";
    case Role::campaigning:
      return "campaigning";
    case Role::leading:
      return "leading";
    case Role::unconfirmed:
      return "unconfirmed";
    case Role::cooldown:
      return "cooldown";
  }
  return "";
}

}  // namespace rookdyke

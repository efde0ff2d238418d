#pragma once

namespace gentiancross {

/** Whether a job arrived within its team's share. The enumerators are in the order of service. */
enum class ShareStanding { Within, Beyond };

} // namespace gentiancross

#include "base_int.h"

static const base_msg_info_t messages[BASE_MSG_MAX] = {
#define BASE_MSG(id, level, name, text) [BASE_MSG_##id] = { level, name, text },
#include "base_msg.def"
#undef BASE_MSG
};

static const char *const level_names[BASE_LEVEL_MAX] = {
	[BASE_DEBUG] = "debug",
	[BASE_INFO] = "info",
	[BASE_WARN] = "warn",
	[BASE_ERROR] = "error",
};

const base_msg_info_t *base_msg_info(base_msg_t msg)
{
	return &messages[msg];
}

const char *base_level_name(base_level_t level)
{
	return level_names[level];
}

#include "entry_private.h"

void
bt_take_config_frame (bt_entry_t *entry, bt_link_t *link, const bt_frame_t *frame)
{
}

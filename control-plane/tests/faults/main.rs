//! Control nodes in virtual time, under cuts and failing disks.

mod cluster;
mod cut_off;
mod disk_failure;

//! Control nodes in virtual time, under cuts and failing disks.

mod cluster;

mod disk_failure;
mod isolation;

//! Operators: changes, concurrent changes, purges and reads of the
//! configuration.
use crate::Run;
use stand_ins::prelude::*;

impl Run {
    /// Writes the document with all markers and records the acknowledgement.
    pub(crate) fn configure(&mut self, expect: Option<u64>) -> Result<u16> {
        self.fleet.record_event("fault", "configure", 0, true);
        let text = self.deployment.document(&self.markers);
        let marker = *self.markers.last().context("marker")?;
        let before = Instant::now();
        let (status, body) =
            self.fleet
                .request_as_operator("PUT", "configuration", &text, expect)?;
        if status == 200 {
            let version = body["version"].as_u64().unwrap_or(0);
            self.acknowledged = Some((version, text));
            self.fleet.record_event("configured", "", marker, true);
            self.fleet.record_event("acknowledged", "", version, true);
            println!(
                "{:6.1} s  configuration with marker {marker} in effect after {} ms",
                self.elapsed_s(),
                before.elapsed().as_millis()
            );
        }
        Ok(status)
    }

    pub(crate) fn replace_content(&self, version: u64) -> Result<()> {
        let path = self.fleet.folder.join("content-version");
        fs::write(path.with_extension("draft"), version.to_string())?;
        fs::rename(path.with_extension("draft"), path)?;
        self.fleet.record_event("fault", "content", 0, true);
        self.fleet.record_event("content", "", version, true);
        Ok(())
    }

    pub(crate) fn purge(&self, prefix: &str, version: u64) -> Result<()> {
        self.fleet.record_event("fault", "purge", 0, true);
        let before = Instant::now();
        let (status, body) = self.fleet.request_as_operator(
            "POST",
            "purges",
            &json!({ "prefix": prefix }).to_string(),
            None,
        )?;
        self.fleet
            .record_event("purged", prefix, version, status == 200);
        println!(
            "{:6.1} s  purge of {prefix}: {status} after {} ms {}",
            self.elapsed_s(),
            before.elapsed().as_millis(),
            body["code"]
        );
        Ok(())
    }

    pub(crate) fn read_back(&self) -> Result<()> {
        let Some((version, text)) = &self.acknowledged else {
            return Ok(());
        };
        let (status, body) = self
            .fleet
            .request_as_operator("GET", "configuration", "", None)?;
        let same = status == 200
            && Some(&body)
                == serde_json::from_str::<serde_json::Value>(text)
                    .ok()
                    .as_ref();
        self.fleet.record_event("read-back", "", *version, same);
        Ok(())
    }

    /// Two operators change the same version; exactly one must succeed.
    pub(crate) fn concurrent_changes(&mut self) -> Result<()> {
        let version = self.acknowledged.as_ref().map(|(version, _)| *version);
        let documents: Vec<String> = [3u64, 4]
            .iter()
            .map(|marker| {
                let markers: Vec<u64> = self.markers.iter().copied().chain([*marker]).collect();
                self.deployment.document(&markers)
            })
            .collect();
        let fleet = &self.fleet;
        let responses: Vec<_> = thread::scope(|scope| {
            let writers: Vec<_> = documents
                .iter()
                .zip(&fleet.control)
                .map(|(text, node)| {
                    scope.spawn(move || fleet.call_document(node.http, "PUT", text, version))
                })
                .collect();
            writers
                .into_iter()
                .filter_map(|writer| writer.join().ok()?.ok())
                .collect()
        });
        let statuses: Vec<u16> = responses.iter().map(|(status, _)| *status).collect();
        println!(
            "{:6.1} s  two concurrent changes: {statuses:?}",
            self.elapsed_s()
        );
        let one_succeeded = statuses.iter().filter(|status| **status == 200).count() == 1
            && statuses.contains(&409);
        self.fleet.record_event(
            "read-back",
            "race: one wins, one gets 409",
            0,
            one_succeeded,
        );
        for (at, (status, body)) in responses.iter().enumerate() {
            if *status == 200 {
                self.markers.push(3 + at as u64);
                self.acknowledged =
                    Some((body["version"].as_u64().unwrap_or(0), documents[at].clone()));
                self.fleet
                    .record_event("configured", "", 3 + at as u64, true);
            }
        }
        Ok(())
    }

    pub(crate) fn put_invalid_configuration(&mut self) -> Result<()> {
        let text = self
            .deployment
            .document(&[1, 2, 999])
            .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
        let (status, body) = self
            .fleet
            .request_as_operator("PUT", "configuration", &text, None)?;
        let finding_count = body["findings"].as_array().map_or(0, Vec::len);
        println!(
            "{:6.1} s  invalid configuration: {status} with {finding_count} findings",
            self.elapsed_s()
        );
        self.fleet.record_event(
            "invalid-refused",
            "",
            999,
            status == 422 && finding_count == 3,
        );
        Ok(())
    }
}

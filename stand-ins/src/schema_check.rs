//! Checks calls and responses against the schema of remote calls.
use crate::prelude::*;

/// Holds real requests and answers against the schema file.
pub struct SchemaCheck {
    schema: serde_json::Value,
}

impl SchemaCheck {
    /// A check against the schema of this build.
    pub fn new() -> Result<SchemaCheck> {
        Ok(SchemaCheck {
            schema: serde_json::from_str(SCHEMA)?,
        })
    }

    fn operation(&self, method: &str, path: &str) -> Result<&serde_json::Value> {
        let paths = &self.schema["paths"];
        let known = paths.get(path).unwrap_or(&paths["/{path}"]);
        known
            .get(method.to_ascii_lowercase())
            .with_context(|| format!("{method} {path} is not in the schema"))
    }

    fn check(&self, place: &serde_json::Value, body: &serde_json::Value) -> Result<()> {
        let schema = place["content"]["application/json"]["schema"].clone();
        if schema.is_null() {
            return Ok(());
        }
        let mut whole = schema;
        whole["components"] = self.schema["components"].clone();
        let checker = jsonschema::validator_for(&whole).map_err(|error| anyhow!("{error}"))?;
        let found: Vec<String> = checker
            .iter_errors(body)
            .map(|error| format!("{} {error}", error.instance_path()))
            .collect();
        if found.is_empty() {
            Ok(())
        } else {
            bail!("{}", found.join("; "))
        }
    }

    /// A request body must fit.
    pub fn request(&self, method: &str, path: &str, body: &serde_json::Value) -> Result<()> {
        self.check(&self.operation(method, path)?["requestBody"], body)
    }

    /// An answer's status must be described, and its body must fit.
    pub fn answer(
        &self,
        method: &str,
        path: &str,
        status: u16,
        body: &serde_json::Value,
    ) -> Result<()> {
        let answers = &self.operation(method, path)?["responses"];
        let class = format!("{}XX", status / 100);
        let place = [status.to_string().as_str(), class.as_str(), "default"]
            .iter()
            .find_map(|name| answers.get(name));
        self.check(
            place.with_context(|| {
                format!("{method} {path}: status {status} is not in the schema")
            })?,
            body,
        )
    }
}

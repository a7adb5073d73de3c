#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What an origin signs, in the manner of RFC 9421: status and digest of its
/// answer, who it is, and the request it answers. The request's part is
/// rebuilt by whoever checks, so an answer to anything else does not pass.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseSignature<'a> {
    pub status: u16,
    pub method: &'a str,
    pub target: &'a str,
    pub service: &'a str,
    pub instance: &'a str,
    pub operation: &'a str,
    pub request: &'a str,
    pub body: &'a [u8],
}

const PARTS: &str = "(\"@status\" \"content-digest\" \"otterslip-service\" \"otterslip-instance\" \
    \"@method\";req \"@request-target\";req \"operation-key\";req \"otterslip-errand\";req)";

impl ResponseSignature<'_> {
    fn digest(&self) -> String {
        format!("sha-256=:{}:", BASE64.encode(Sha256::digest(self.body)))
    }

    fn params(&self) -> String {
        format!("{PARTS};alg=\"ed25519\";keyid=\"{}\"", self.service)
    }

    fn base(&self) -> String {
        format!(
            "\"@status\": {}\n\"content-digest\": {}\n\"otterslip-service\": {}\n\"otterslip-instance\": {}\n\
             \"@method\";req: {}\n\"@request-target\";req: {}\n\"operation-key\";req: {}\n\"otterslip-errand\";req: {}\n\
             \"@signature-params\": {}",
            self.status,
            self.digest(),
            self.service,
            self.instance,
            self.method,
            self.target,
            self.operation,
            self.request,
            self.params()
        )
    }

    /// The headers an origin adds.
    pub fn sign(&self, key: &SigningKey) -> Vec<(String, String)> {
        let signature = BASE64.encode(key.sign(self.base().as_bytes()).to_bytes());
        [
            ("Content-Digest", self.digest()),
            ("Otterslip-Service", self.service.to_string()),
            ("Otterslip-Instance", self.instance.to_string()),
            ("Signature-Input", format!("sig={}", self.params())),
            ("Signature", format!("sig=:{signature}:")),
        ]
        .map(|(name, value)| (name.to_string(), value))
        .into()
    }

    /// Checks an answer's headers against what was asked of whom.
    pub fn check(&self, headers: &[(String, String)], key: &str) -> Result<()> {
        let get = |name: &str| header(headers, name).with_context(|| format!("no {name}"));
        if get("otterslip-service")? != self.service || get("otterslip-instance")? != self.instance
        {
            bail!("from another service or instance");
        }
        if get("content-digest")? != self.digest() {
            bail!("body does not match its digest");
        }
        if get("signature-input")?.strip_prefix("sig=") != Some(self.params().as_str()) {
            bail!("signed over other parts");
        }
        let text = get("signature")?
            .strip_prefix("sig=:")
            .and_then(|rest| rest.strip_suffix(':'))
            .context("no signature")?;
        let signature = Signature::from_slice(&BASE64.decode(text)?)?;
        let key: [u8; 32] = BASE64
            .decode(key)?
            .try_into()
            .map_err(|_| anyhow!("key has another length"))?;
        VerifyingKey::from_bytes(&key)?
            .verify_strict(self.base().as_bytes(), &signature)
            .context("signature does not verify")
    }
}

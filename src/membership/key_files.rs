//! Private keys and certificates of hosts, and their generation.

use std::{fs, path::Path, sync::Arc};

use eyre::{Result, WrapErr};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};

use crate::hex_text;

/// Server name in the certificate of every host. A peer with a certificate that the authority issued for this name is
/// trusted as a host of the cluster.
pub(crate) const PEER_SERVER_NAME: &str = "ragwortknot";

/// Contents of the PEM files that a host uses for TLS with its peers.
#[derive(Clone, Debug, derive_more::Display)]
#[display("key files")]
pub(crate) struct KeyFiles {
    pub(crate) certificate: Arc<str>,
    pub(crate) private_key: Arc<str>,
    pub(crate) authority: Arc<str>,
}

impl KeyFiles {
    /// Parses the certificate chain of the host.
    pub(crate) fn certificate_chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .wrap_err("failed to parse the host's certificate as PEM")
    }

    /// Parses the private key of the host.
    pub(crate) fn private_key(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .wrap_err("failed to parse the host's private key as PEM")
    }

    /// Parses the certificates of the authority, against which peers are verified.
    pub(crate) fn trusted_roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();

        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            let certificate =
                certificate.wrap_err("failed to parse the authority's certificate as PEM")?;
            roots
                .add(certificate)
                .wrap_err("the authority's PEM file holds an invalid certificate")?;
        }

        Ok(roots)
    }
}

/// A certificate authority with a generated key. It issues the certificates of local clusters and trials, and the one
/// that all entry hosts share.
pub(crate) struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Generates a key and a self-signed certificate.
    pub(crate) fn generate() -> Result<Self> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params.distinguished_name = common_name("ragwortknot trial authority");
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(Self { issuer })
    }

    /// Generates a key for a host and issues its certificate.
    pub(crate) fn issue(&self, host: &str) -> Result<KeyFiles> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()])?;
        params.distinguished_name = common_name(host);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        let certificate = params.signed_by(&key, &self.issuer)?;

        Ok(KeyFiles {
            certificate: certificate.pem().into(),
            private_key: key.serialize_pem().into(),
            authority: self.issuer.pem().into(),
        })
    }
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished_name = DistinguishedName::new();
    distinguished_name.push(DnType::CommonName, name);
    distinguished_name
}

/// Returns a random key of 24 bytes as hexadecimal text.
pub(crate) fn random_key() -> String {
    hex_text(&rand::random::<[u8; 24]>())
}

/// Generates an authority, a receipt key, and a key and certificate for each host, and writes them into a folder. The
/// authority's private key is not written.
pub(crate) fn write_key_folder(folder: &Path, hosts: &[String]) -> Result<()> {
    fs::create_dir_all(folder)
        .wrap_err_with(|| format!("failed to create folder {}", folder.display()))?;
    let authority = CertificateAuthority::generate()?;

    for host in hosts {
        let files = authority.issue(host)?;
        write_secret(&folder.join(format!("{host}.key.pem")), &files.private_key)?;
        fs::write(folder.join(format!("{host}.cert.pem")), &*files.certificate)?;
        fs::write(folder.join("authority.cert.pem"), &*files.authority)?;
    }

    write_secret(&folder.join("receipt.key"), &random_key())
}

/// Writes a file, and creates it readable by its owner only.
fn write_secret(path: &Path, text: &str) -> Result<()> {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};

    let mut file = fs::OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .mode(0o600)
        .open(path)
        .wrap_err_with(|| format!("failed to create file {}", path.display()))?;

    file.write_all(text.as_bytes())?;
    Ok(())
}

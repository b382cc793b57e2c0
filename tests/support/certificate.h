/* Generates certificates for tests, so that none is kept in the
   repository.  */

#ifndef MQ_TESTS_CERTIFICATE_H
#define MQ_TESTS_CERTIFICATE_H

#include <glib.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>
#include <gtest/gtest.h>

#include <ctime>
#include <string>

namespace certificate
{

constexpr time_t kValid_s = 3600;

inline void
save (const std::string &path, const gnutls_datum_t &pem)
{
  ASSERT_TRUE (g_file_set_contents (path.c_str (),
                                    reinterpret_cast<const char *> (pem.data),
                                    static_cast<gssize> (pem.size), nullptr));
}

/* Writes a self-signed certificate for 127.0.0.1 and its key to the files
   CERTIFICATE and KEY.  SERIAL distinguishes certificates.  */
inline void
make_certificate (const std::string &certificate, const std::string &key,
                  unsigned char serial)
{
  const unsigned char ip[] = { 127, 0, 0, 1 };
  const char *name = "CN=127.0.0.1";
  gnutls_x509_privkey_t k;
  gnutls_x509_crt_t c;
  gnutls_datum_t pem;

  gnutls_x509_privkey_init (&k);
  gnutls_x509_privkey_generate (
      k, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS (GNUTLS_ECC_CURVE_SECP256R1),
      0);
  gnutls_x509_crt_init (&c);
  gnutls_x509_crt_set_version (c, 3);
  gnutls_x509_crt_set_key (c, k);
  gnutls_x509_crt_set_serial (c, &serial, 1);
  gnutls_x509_crt_set_dn (c, name, nullptr);
  gnutls_x509_crt_set_activation_time (c, time (nullptr) - kValid_s);
  gnutls_x509_crt_set_expiration_time (c, time (nullptr) + kValid_s);
  gnutls_x509_crt_set_basic_constraints (c, 1, -1);
  gnutls_x509_crt_set_subject_alt_name (c, GNUTLS_SAN_IPADDRESS, ip, sizeof ip,
                                        GNUTLS_FSAN_SET);
  ASSERT_EQ (gnutls_x509_crt_sign2 (c, c, k, GNUTLS_DIG_SHA256, 0), 0);
  ASSERT_EQ (gnutls_x509_crt_export2 (c, GNUTLS_X509_FMT_PEM, &pem), 0);
  save (certificate, pem);
  gnutls_free (pem.data);
  ASSERT_EQ (gnutls_x509_privkey_export2 (k, GNUTLS_X509_FMT_PEM, &pem), 0);
  save (key, pem);
  gnutls_free (pem.data);
  gnutls_x509_crt_deinit (c);
  gnutls_x509_privkey_deinit (k);
}

} // namespace certificate

#endif
